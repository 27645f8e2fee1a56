import type { PeerMethodRegistry, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import type { LiveList } from "@skylarkpath/common/platform/LiveList";
import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { TableService } from "@skylarkpath/common/platform/TableService";
import type { TargetService } from "@skylarkpath/common/platform/TargetService";
import type { WorkerService } from "@skylarkpath/common/platform/WorkerService";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import type { ProcessGate } from "./ProcessGate.js";

/** Wraps the services of a process so that replies and incoming calls reach it only while its event loop runs. */
export function gateEnvironment(environment: ProcessEnvironment, gate: ProcessGate): ProcessEnvironment {
    return {
        ...environment,
        table: gateTable(environment.table, gate),
        objects: gateObjects(environment.objects, gate),
        liveList: gateLiveList(environment.liveList, gate),
        workers: gateWorkers(environment.workers, gate),
        targets: gateTargets(environment.targets, gate),
        transport: gateTransport(environment.transport, gate),
        methods: gateMethods(environment.methods, gate)
    };
}

function gateTable(table: TableService, gate: ProcessGate): TableService {
    return {
        read: (name, key) => gate.deliver(table.read(name, key)),
        scan: request => gate.deliver(table.scan(request)),
        commit: transaction => gate.deliver(table.commit(transaction))
    };
}

function gateObjects(objects: ObjectStore, gate: ProcessGate): ObjectStore {
    return {
        put: (name, content) => gate.deliver(objects.put(name, content)),
        get: name => gate.deliver(objects.get(name)),
        remove: name => gate.deliver(objects.remove(name))
    };
}

function gateLiveList(liveList: LiveList, gate: ProcessGate): LiveList {
    return { read: () => gate.deliver(liveList.read()) };
}

function gateWorkers(workers: WorkerService, gate: ProcessGate): WorkerService {
    return { exchange: (address, exchange) => gate.deliver(workers.exchange(address, exchange)) };
}

function gateTargets(targets: TargetService, gate: ProcessGate): TargetService {
    return {
        dispatch: (address, request) => gate.deliver(targets.dispatch(address, request)),
        attempt: (address, attemptId) => gate.deliver(targets.attempt(address, attemptId)),
        inventory: address => gate.deliver(targets.inventory(address))
    };
}

function gateTransport(transport: PeerTransport, gate: ProcessGate): PeerTransport {
    return {
        call: (address, method, parameters, timeoutMs) =>
            gate.deliver(transport.call(address, method, parameters, timeoutMs))
    };
}

function gateMethods(methods: PeerMethodRegistry, gate: ProcessGate): PeerMethodRegistry {
    return {
        register: (method, handler) =>
            methods.register(method, async (parameters, from) => {
                await gate.deliver(Promise.resolve());
                return gate.deliver(handler(parameters, from));
            })
    };
}

import type { PeerMethodRegistry, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import type { LiveList } from "@skylarkpath/common/platform/LiveList";
import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { TableService } from "@skylarkpath/common/platform/TableService";
import type { TargetService } from "@skylarkpath/common/platform/TargetService";
import type { WorkerService } from "@skylarkpath/common/platform/WorkerService";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import type { ProcessGate } from "./ProcessGate.js";

/** Wraps the services of a process so that replies and incoming calls reach it only while its event loop runs. */
export function hostEnvironment(environment: ProcessEnvironment, gate: ProcessGate): ProcessEnvironment {
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
        read: (name, key) => gate.pass(table.read(name, key)),
        scan: request => gate.pass(table.scan(request)),
        commit: transaction => gate.pass(table.commit(transaction))
    };
}

function gateObjects(objects: ObjectStore, gate: ProcessGate): ObjectStore {
    return {
        put: (name, content) => gate.pass(objects.put(name, content)),
        get: name => gate.pass(objects.get(name)),
        remove: name => gate.pass(objects.remove(name))
    };
}

function gateLiveList(liveList: LiveList, gate: ProcessGate): LiveList {
    return { read: () => gate.pass(liveList.read()) };
}

function gateWorkers(workers: WorkerService, gate: ProcessGate): WorkerService {
    return { exchange: (address, exchange) => gate.pass(workers.exchange(address, exchange)) };
}

function gateTargets(targets: TargetService, gate: ProcessGate): TargetService {
    return {
        dispatch: (address, request) => gate.pass(targets.dispatch(address, request)),
        attempt: (address, attemptId) => gate.pass(targets.attempt(address, attemptId)),
        inventory: address => gate.pass(targets.inventory(address))
    };
}

function gateTransport(transport: PeerTransport, gate: ProcessGate): PeerTransport {
    return {
        call: (address, method, parameters, timeoutMs) =>
            gate.pass(transport.call(address, method, parameters, timeoutMs))
    };
}

function gateMethods(methods: PeerMethodRegistry, gate: ProcessGate): PeerMethodRegistry {
    return {
        register: (method, handler) =>
            methods.register(method, async (parameters, from) => {
                await gate.pass(Promise.resolve());
                return gate.pass(handler(parameters, from));
            })
    };
}

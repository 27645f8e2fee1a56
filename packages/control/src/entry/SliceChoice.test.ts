import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import type { RequestSpec } from "@skylarkpath/common/model/Request";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import test from "ava";
import type { SliceLocation } from "../slice/SliceDirectory.js";
import { chooseSlice } from "./SliceChoice.js";

function worker(failureDomain: string, index: number): LiveMachine {
    return {
        machineId: `${failureDomain}-${index}`,
        role: MachineRole.Worker,
        address: "",
        failureDomain,
        region: "r",
        rack: "1",
        incarnation: "1",
        leaving: false,
        capacity: { processorMillicores: 4000, memoryBytes: 4000, accelerators: 0 }
    };
}

function location(failureDomain: string): SliceLocation {
    return { sliceId: failureDomain, failureDomain, region: "r", processId: "p", address: "", epoch: 1, services: {} };
}

function spec(kind: QueueKind, count: number): RequestSpec {
    const resources = { processorMillicores: 2000, memoryBytes: 1000, accelerators: 0 };
    const tasks = { count, resources, declaredDurationMs: 0, checkpointable: false };
    return { queue: "q", kind, team: "t", idempotent: true, urgent: false, payload: "", deadlineAtMs: 0, tasks };
}

const MACHINES = [worker("near", 0), worker("far", 0), worker("far", 1)];
const LOCATIONS = [location("near"), location("far")];

test("a gang goes to the nearest slice with the total capacity for it, else to the nearest one", t => {
    t.is(chooseSlice(spec(QueueKind.Gang, 2), LOCATIONS, MACHINES)?.sliceId, "near");
    t.is(chooseSlice(spec(QueueKind.Gang, 3), LOCATIONS, MACHINES)?.sliceId, "far");
    t.is(chooseSlice(spec(QueueKind.Gang, 9), LOCATIONS, MACHINES)?.sliceId, "near");
});

test("a batch job needs capacity for one task only", t => {
    t.is(chooseSlice(spec(QueueKind.Batch, 100), LOCATIONS, MACHINES)?.sliceId, "near");
    t.is(chooseSlice(spec(QueueKind.Batch, 1), LOCATIONS, MACHINES.slice(1))?.sliceId, "far");
});

import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const EVACUATION_MS = 1500;
const TROUBLE_MS = 4000;
const EVACUATED = "south";

/** Begins just before the evacuation is stored; the result ends the trouble. */
type Trouble = (deployment: FleetDeployment, owner: string) => () => void;

function refuseAll({ store, processes }: FleetDeployment): () => void {
    [...processes.keys()].forEach(machine => store.faults.refusedMachines.add(machine));
    return () => store.faults.refusedMachines.clear();
}

const TROUBLES: Readonly<Record<string, Trouble>> = {
    "the owner is lost": (deployment, owner) => {
        deployment.killProcess(owner);
        return () => undefined;
    },
    "the store does not answer the owner": ({ store }, owner) => {
        store.faults.isolatedMachines.add(owner);
        return () => store.faults.isolatedMachines.delete(owner);
    },
    "the store serves the operators only": refuseAll,
    "the store serves the operators only, and the owner is lost meanwhile": (deployment, owner) => {
        deployment.timer.after(TROUBLE_MS - 100, () => deployment.killProcess(owner));
        return refuseAll(deployment);
    }
};

for (const [name, begin] of Object.entries(TROUBLES)) {
    test(`nothing starts in an evacuated failure domain once its time is over while ${name}`, async t => {
        for (const seed of [51, 52, 53]) {
            const deployment = new FleetDeployment({ processes: 3, workers: 3, seed, evacuationMs: EVACUATION_MS });
            const { timer, rules } = deployment;
            for (const id of ["s0", "s1", "s2"]) {
                deployment.startWorker(id, id, EVACUATED);
            }
            const starts: { readonly domain: string; readonly atMs: number; }[] = [];
            const recordStart = rules.recordStart.bind(rules);
            rules.recordStart = (task, run, worker) => {
                starts.push({ domain: worker.entry.failureDomain, atMs: timer.nowMs() });
                recordStart(task, run, worker);
            };
            const countStarts = (domain: string, fromMs: number, toMs: number): number =>
                starts.filter(start => start.domain === domain && start.atMs > fromMs && start.atMs < toMs).length;
            await timer.advance(2500);
            // Tasks wait all the while, so that each place is taken as soon as it may be.
            void deployment.submit("m0", deployment.createJob([{ taskCount: 700, estimateMs: 700 }]));
            await timer.advance(1000);
            const end = begin(deployment, deployment.ownerMachine);
            const evacuatedAtMs = timer.nowMs();
            deployment.putEvacuation(EVACUATED, true);
            await timer.advance(TROUBLE_MS);
            end();
            const endedAtMs = timer.nowMs();
            await timer.advance(5000);
            const takenBackAtMs = timer.nowMs();
            deployment.putEvacuation(EVACUATED, false);
            await timer.advance(2000);
            const label = `seed ${seed}`;
            t.is(countStarts(EVACUATED, evacuatedAtMs + EVACUATION_MS, takenBackAtMs), 0, label);
            t.true(countStarts("north", endedAtMs, takenBackAtMs) > 0, label);
            t.true(countStarts(EVACUATED, takenBackAtMs, timer.nowMs()) > 0, label);
            t.deepEqual(rules.allViolations(), [], label);
        }
    });
}

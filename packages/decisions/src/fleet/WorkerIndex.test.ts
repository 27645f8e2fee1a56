import type { Resources } from "@skylarkpath/common/model/Resources";
import { createSeededRandom, nextInteger } from "@skylarkpath/common/random/RandomSource";
import test from "ava";
import { OrderingResource, WorkerIndex } from "./WorkerIndex.js";
import { WorkerNode } from "./WorkerNode.js";

const SEED = 20_261_207;
const WORKER_COUNT = 60;
const ROUNDS = 4000;
const MEBIBYTE = 2 ** 20;

test("finds a fitting worker exactly when there is one", t => {
    t.log(`seed ${SEED}`);
    const random = createSeededRandom(SEED);
    const drawSpread = (): Resources => ({
        processorMillicores: nextInteger(random, 12) ** 4,
        memoryBytes: nextInteger(random, 12) ** 4 * MEBIBYTE,
        accelerators: Math.max(0, nextInteger(random, 14) - 3)
    });
    const drawClose = (): Resources => ({
        processorMillicores: 1030 + nextInteger(random, 500),
        memoryBytes: (1030 + nextInteger(random, 500)) * MEBIBYTE,
        accelerators: 0
    });
    const draw = (): Resources => (random.next() < 0.7 ? drawClose() : drawSpread());
    const index = new WorkerIndex();
    const workers = [...Array(WORKER_COUNT).keys()].map(worker => new WorkerNode(`w${worker}`));
    let found = 0;
    for (let round = 0; round < ROUNDS; round++) {
        const worker = workers[nextInteger(random, WORKER_COUNT)]!;
        worker.setView({ workerId: worker.workerId, rack: "r", capacity: draw(), schedulable: true });
        if (random.next() < 0.3) {
            index.remove(worker);
        }
        else {
            index.update(worker);
        }
        const demand = draw();
        const ordering = random.next() < 0.5 ? OrderingResource.Processor : OrderingResource.Memory;
        const excluded = workers[nextInteger(random, WORKER_COUNT)]!;
        const choice = index.findBest(demand, ordering, candidate => candidate !== excluded);
        const fitting = workers.filter(other => other.index === index && other !== excluded && other.fits(demand));
        t.is(choice === undefined, fitting.length === 0);
        t.true(choice === undefined || fitting.includes(choice));
        found += choice === undefined ? 0 : 1;
    }
    t.true(found > ROUNDS / 4 && found < ROUNDS);
});

test("prefers the tightest fit of the ordering resource, and workers without accelerators", t => {
    const index = new WorkerIndex();
    const capacities = [[1000, 900, 0], [8000, 100, 0], [1000, 100, 4]] as const;
    const workers = capacities.map(([processorMillicores, memory, accelerators], position) => {
        const worker = new WorkerNode(`w${position}`);
        const capacity = { processorMillicores, memoryBytes: memory * MEBIBYTE, accelerators };
        worker.setView({ workerId: worker.workerId, rack: "r", capacity, schedulable: true });
        index.update(worker);
        return worker;
    });
    const demand = { processorMillicores: 500, memoryBytes: 50 * MEBIBYTE, accelerators: 0 };
    t.is(index.findBest(demand, OrderingResource.Processor, () => true), workers[0]);
    t.is(index.findBest(demand, OrderingResource.Memory, () => true), workers[1]);
    t.is(index.findBest({ ...demand, accelerators: 1 }, OrderingResource.Memory, () => true), workers[2]);
});

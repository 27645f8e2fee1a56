import { createSeededRandom, nextInteger } from "@skylarkpath/common/random/RandomSource";
import test from "ava";
import { IndexedHeap, NOT_IN_HEAP } from "./IndexedHeap.js";

interface Entry {
    heapIndex: number;
    key: number;
}

const SEED = 20_261_208;
const ENTRY_COUNT = 40;
const ROUNDS = 5000;

test("keeps the smallest key at the head across pushes, removals and key changes", t => {
    t.log(`seed ${SEED}`);
    const random = createSeededRandom(SEED);
    const heap = new IndexedHeap<Entry>((left, right) => left.key < right.key);
    const entries = Array.from({ length: ENTRY_COUNT }, (): Entry => ({ heapIndex: NOT_IN_HEAP, key: 0 }));
    const inHeap = new Set<Entry>();
    for (let round = 0; round < ROUNDS; round++) {
        const entry = entries[nextInteger(random, ENTRY_COUNT)]!;
        if (!inHeap.has(entry)) {
            entry.key = nextInteger(random, 1000);
            heap.push(entry);
            inHeap.add(entry);
        }
        else if (random.next() < 0.5) {
            entry.key = nextInteger(random, 1000);
            heap.update(entry);
        }
        else {
            heap.remove(entry);
            inHeap.delete(entry);
        }
        t.is(heap.size, inHeap.size);
        t.is(heap.peek()?.key, inHeap.size === 0 ? undefined : Math.min(...[...inHeap].map(({ key }) => key)));
    }
    const drained: number[] = [];
    for (let first = heap.pop(); first !== undefined; first = heap.pop()) {
        drained.push(first.key);
    }
    t.deepEqual(drained, [...drained].sort((left, right) => left - right));
});

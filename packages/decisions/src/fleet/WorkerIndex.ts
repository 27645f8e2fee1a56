import type { Resources } from "@skylarkpath/common/model/Resources";
import { NOT_INDEXED, type WorkerNode } from "./WorkerNode.js";

/** Resource by which a search orders the workers that fit. */
export enum OrderingResource {
    Processor = "processor",
    Memory = "memory"
}

const LEVEL_COUNT = 32;
const ACCELERATOR_LEVEL_COUNT = 9;
const PROCESSOR_UNIT_MILLICORES = 64;
const MEMORY_UNIT_BYTES = 64 * 1024 * 1024;
const MAX_PROBES_PER_CELL = 8;

/**
 * Index of workers by free processors, memory and accelerators. Each combination of levels of the three resources is a
 * cell. Processors and memory have two levels per power of two, accelerators one level each. Bit masks mark the cells
 * in use, so a search visits only these, the tightest fit first, instead of all workers.
 */
export class WorkerIndex {
    private readonly cells: (WorkerNode[] | undefined)[] = new Array(
        ACCELERATOR_LEVEL_COUNT * LEVEL_COUNT * LEVEL_COUNT
    );
    /** Memory levels in use, by accelerator and processor level. */
    private readonly memoryMasks = new Int32Array(ACCELERATOR_LEVEL_COUNT * LEVEL_COUNT);
    /** Processor levels in use, by accelerator and memory level. */
    private readonly processorMasks = new Int32Array(ACCELERATOR_LEVEL_COUNT * LEVEL_COUNT);
    private count = 0;

    public get size(): number {
        return this.count;
    }

    /** Adds a worker, or moves it to the cell of its current free capacity. */
    public update(worker: WorkerNode): void {
        const cell = cellIndexOf(worker);
        if (cell !== worker.cellIndex || worker.index !== this) {
            worker.index?.remove(worker);
            this.insert(worker, cell);
        }
    }

    /** Removes a worker; does nothing if it is not in this index. */
    public remove(worker: WorkerNode): void {
        if (worker.index !== this) {
            return;
        }
        const members = this.cells[worker.cellIndex]!;
        const last = members.pop()!;
        if (last !== worker) {
            members[worker.cellPosition] = last;
            last.cellPosition = worker.cellPosition;
        }
        if (members.length === 0) {
            this.setMasks(worker.cellIndex, false);
        }
        worker.index = undefined;
        worker.cellIndex = NOT_INDEXED;
        worker.cellPosition = NOT_INDEXED;
        this.count--;
    }

    /**
     * Returns an accepted worker that fits, from the tightest cell that has one: fewest free accelerators first, then
     * least of the ordering resource. Workers in the lowest cells may be too small, so a first pass checks only a few
     * workers of each cell; a full pass follows if it finds none.
     */
    public findBest(
        demand: Resources,
        ordering: OrderingResource,
        accepts: (worker: WorkerNode) => boolean
    ): WorkerNode | undefined {
        return this.search(demand, ordering, accepts, MAX_PROBES_PER_CELL)
            ?? this.search(demand, ordering, accepts, Number.MAX_SAFE_INTEGER);
    }

    private search(
        demand: Resources,
        ordering: OrderingResource,
        accepts: (worker: WorkerNode) => boolean,
        maxProbesPerCell: number
    ): WorkerNode | undefined {
        const byProcessor = ordering === OrderingResource.Processor;
        const processorLevel = processorLevelOf(demand.processorMillicores);
        const memoryLevel = memoryLevelOf(demand.memoryBytes);
        const outerStart = byProcessor ? processorLevel : memoryLevel;
        const innerMask = -1 << (byProcessor ? memoryLevel : processorLevel);
        const masks = byProcessor ? this.memoryMasks : this.processorMasks;
        for (
            let acceleratorLevel = acceleratorLevelOf(demand.accelerators);
            acceleratorLevel < ACCELERATOR_LEVEL_COUNT;
            acceleratorLevel++
        ) {
            for (let outer = outerStart; outer < LEVEL_COUNT; outer++) {
                let mask = masks[acceleratorLevel * LEVEL_COUNT + outer]! & innerMask;
                while (mask !== 0) {
                    const inner = 31 - Math.clz32(mask & -mask);
                    mask &= mask - 1;
                    const cell = byProcessor
                        ? toCellIndex(acceleratorLevel, outer, inner)
                        : toCellIndex(acceleratorLevel, inner, outer);
                    const found = findInCell(this.cells[cell]!, demand, accepts, maxProbesPerCell);
                    if (found !== undefined) {
                        return found;
                    }
                }
            }
        }
        return undefined;
    }

    private insert(worker: WorkerNode, cell: number): void {
        let members = this.cells[cell];
        if (members === undefined) {
            members = [];
            this.cells[cell] = members;
        }
        if (members.length === 0) {
            this.setMasks(cell, true);
        }
        worker.index = this;
        worker.cellIndex = cell;
        worker.cellPosition = members.length;
        members.push(worker);
        this.count++;
    }

    private setMasks(cell: number, used: boolean): void {
        const memoryLevel = cell % LEVEL_COUNT;
        const processorLevel = Math.floor(cell / LEVEL_COUNT) % LEVEL_COUNT;
        const acceleratorLevel = Math.floor(cell / (LEVEL_COUNT * LEVEL_COUNT));
        setBit(this.memoryMasks, acceleratorLevel * LEVEL_COUNT + processorLevel, memoryLevel, used);
        setBit(this.processorMasks, acceleratorLevel * LEVEL_COUNT + memoryLevel, processorLevel, used);
    }
}

function findInCell(
    members: readonly WorkerNode[],
    demand: Resources,
    accepts: (worker: WorkerNode) => boolean,
    maxProbes: number
): WorkerNode | undefined {
    const count = Math.min(members.length, maxProbes);
    for (let position = members.length - 1; position >= members.length - count; position--) {
        const worker = members[position]!;
        if (worker.fits(demand) && accepts(worker)) {
            return worker;
        }
    }
    return undefined;
}

function setBit(masks: Int32Array, position: number, bit: number, used: boolean): void {
    if (used) {
        masks[position] = masks[position]! | (1 << bit);
    }
    else {
        masks[position] = masks[position]! & ~(1 << bit);
    }
}

function cellIndexOf(worker: WorkerNode): number {
    return toCellIndex(
        acceleratorLevelOf(worker.freeAccelerators),
        processorLevelOf(worker.freeProcessorMillicores),
        memoryLevelOf(worker.freeMemoryBytes)
    );
}

function toCellIndex(acceleratorLevel: number, processorLevel: number, memoryLevel: number): number {
    return (acceleratorLevel * LEVEL_COUNT + processorLevel) * LEVEL_COUNT + memoryLevel;
}

function acceleratorLevelOf(accelerators: number): number {
    return Math.max(0, Math.min(ACCELERATOR_LEVEL_COUNT - 1, Math.floor(accelerators)));
}

function processorLevelOf(millicores: number): number {
    return halfOctaveLevelOf(millicores / PROCESSOR_UNIT_MILLICORES);
}

function memoryLevelOf(bytes: number): number {
    return halfOctaveLevelOf(bytes / MEMORY_UNIT_BYTES);
}

/** Level zero is below one unit; each further level is half a power of two: 1 to 1.5, 1.5 to 2, 2 to 3 units. */
function halfOctaveLevelOf(units: number): number {
    if (units < 1) {
        return 0;
    }
    const whole = Math.min(units, 0x3fffffff) | 0;
    const octave = 31 - Math.clz32(whole);
    const upperHalf = units >= 1.5 * (1 << octave) ? 1 : 0;
    return Math.min(LEVEL_COUNT - 1, 1 + 2 * octave + upperHalf);
}

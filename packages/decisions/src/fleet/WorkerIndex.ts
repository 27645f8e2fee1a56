import type { Resources } from "@skylarkpath/common/model/Resources";
import { NOT_INDEXED, type WorkerNode } from "./WorkerNode.js";

/** Resource by which the index orders the workers that fit. */
export enum OrderingResource {
    Processor = "processor",
    Memory = "memory"
}

const LEVELS = 32;
const ACCELERATOR_LEVELS = 9;
const PROCESSOR_UNIT_MILLICORES = 64;
const MEMORY_UNIT_BYTES = 64 * 1024 * 1024;
const BOUNDARY_PROBES = 8;

/**
 * Workers by free processors, memory and accelerators. Cells are half an octave wide; bit masks tell which are in use,
 * so a search visits cells in order of fit and never all workers.
 */
export class WorkerIndex {
    private readonly cells: (WorkerNode[] | undefined)[] = new Array(ACCELERATOR_LEVELS * LEVELS * LEVELS);
    /** Memory levels in use, by accelerator and processor level. */
    private readonly memoryMasks = new Int32Array(ACCELERATOR_LEVELS * LEVELS);
    /** Processor levels in use, by accelerator and memory level. */
    private readonly processorMasks = new Int32Array(ACCELERATOR_LEVELS * LEVELS);
    private count = 0;

    public get size(): number {
        return this.count;
    }

    /** Adds a worker, or moves it to where its free capacity belongs. */
    public update(worker: WorkerNode): void {
        const cell = cellOf(worker);
        if (cell !== worker.cell || worker.index !== this) {
            worker.index?.remove(worker);
            this.insert(worker, cell);
        }
    }

    /** Removes a worker; does nothing when it is not here. */
    public remove(worker: WorkerNode): void {
        if (worker.index !== this) {
            return;
        }
        const members = this.cells[worker.cell]!;
        const last = members.pop()!;
        if (last !== worker) {
            members[worker.cellPosition] = last;
            last.cellPosition = worker.cellPosition;
        }
        if (members.length === 0) {
            this.setMasks(worker.cell, false);
        }
        worker.index = undefined;
        worker.cell = NOT_INDEXED;
        worker.cellPosition = NOT_INDEXED;
        this.count--;
    }

    /** Returns the accepted worker that the demand fits best. */
    public findBest(
        demand: Resources,
        ordering: OrderingResource,
        accepts: (worker: WorkerNode) => boolean
    ): WorkerNode | undefined {
        return this.search(demand, ordering, accepts, BOUNDARY_PROBES)
            ?? this.search(demand, ordering, accepts, Number.MAX_SAFE_INTEGER);
    }

    private search(
        demand: Resources,
        ordering: OrderingResource,
        accepts: (worker: WorkerNode) => boolean,
        probes: number
    ): WorkerNode | undefined {
        const byProcessor = ordering === OrderingResource.Processor;
        const processorLevel = processorLevelOf(demand.processorMillicores);
        const memoryLevel = memoryLevelOf(demand.memoryBytes);
        const outerStart = byProcessor ? processorLevel : memoryLevel;
        const innerMask = -1 << (byProcessor ? memoryLevel : processorLevel);
        const masks = byProcessor ? this.memoryMasks : this.processorMasks;
        for (
            let accelerators = acceleratorLevelOf(demand.accelerators);
            accelerators < ACCELERATOR_LEVELS;
            accelerators++
        ) {
            for (let outer = outerStart; outer < LEVELS; outer++) {
                let mask = masks[accelerators * LEVELS + outer]! & innerMask;
                while (mask !== 0) {
                    const inner = 31 - Math.clz32(mask & -mask);
                    mask &= mask - 1;
                    const cell = byProcessor
                        ? composeCell(accelerators, outer, inner)
                        : composeCell(accelerators, inner, outer);
                    const found = findIn(this.cells[cell]!, demand, accepts, probes);
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
        worker.cell = cell;
        worker.cellPosition = members.length;
        members.push(worker);
        this.count++;
    }

    private setMasks(cell: number, used: boolean): void {
        const memoryLevel = cell % LEVELS;
        const processorLevel = Math.floor(cell / LEVELS) % LEVELS;
        const accelerators = Math.floor(cell / (LEVELS * LEVELS));
        setBit(this.memoryMasks, accelerators * LEVELS + processorLevel, memoryLevel, used);
        setBit(this.processorMasks, accelerators * LEVELS + memoryLevel, processorLevel, used);
    }
}

function findIn(
    members: readonly WorkerNode[],
    demand: Resources,
    accepts: (worker: WorkerNode) => boolean,
    probes: number
): WorkerNode | undefined {
    const count = Math.min(members.length, probes);
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

function cellOf(worker: WorkerNode): number {
    return composeCell(
        acceleratorLevelOf(worker.freeAccelerators),
        processorLevelOf(worker.freeProcessorMillicores),
        memoryLevelOf(worker.freeMemoryBytes)
    );
}

function composeCell(acceleratorLevel: number, processorLevel: number, memoryLevel: number): number {
    return (acceleratorLevel * LEVELS + processorLevel) * LEVELS + memoryLevel;
}

function acceleratorLevelOf(accelerators: number): number {
    return Math.max(0, Math.min(ACCELERATOR_LEVELS - 1, Math.floor(accelerators)));
}

function processorLevelOf(millicores: number): number {
    return halfOctaveOf(millicores / PROCESSOR_UNIT_MILLICORES);
}

function memoryLevelOf(bytes: number): number {
    return halfOctaveOf(bytes / MEMORY_UNIT_BYTES);
}

/** Level zero holds all below one unit; each further level is half an octave. */
function halfOctaveOf(units: number): number {
    if (units < 1) {
        return 0;
    }
    const whole = Math.min(units, 0x3fffffff) | 0;
    const octave = 31 - Math.clz32(whole);
    const upperHalf = units >= 1.5 * (1 << octave) ? 1 : 0;
    return Math.min(LEVELS - 1, 1 + 2 * octave + upperHalf);
}

/** Element of an indexed heap; the heap stores its position in it. */
export interface HeapElement {
    heapIndex: number;
}

/** Position of an element that is in no heap. */
export const NOT_IN_HEAP = -1;

/** Binary heap that stores each element's position in the element, so any element can be moved or removed. */
export class IndexedHeap<T extends HeapElement> {
    private readonly elements: T[] = [];

    constructor(private readonly isBefore: (left: T, right: T) => boolean) {}

    public get size(): number {
        return this.elements.length;
    }

    /** Returns the first element. */
    public peek(): T | undefined {
        return this.elements[0];
    }

    /** Returns all elements in no particular order. */
    public values(): readonly T[] {
        return this.elements;
    }

    /** Adds an element that is in no heap. */
    public push(element: T): void {
        this.elements.push(element);
        this.siftUp(element, this.elements.length - 1);
    }

    /** Removes and returns the first element. */
    public pop(): T | undefined {
        const first = this.elements[0];
        if (first !== undefined) {
            this.remove(first);
        }
        return first;
    }

    /** Removes an element; does nothing if it is in no heap. */
    public remove(element: T): void {
        const position = element.heapIndex;
        if (position === NOT_IN_HEAP) {
            return;
        }
        const last = this.elements.pop()!;
        element.heapIndex = NOT_IN_HEAP;
        if (last !== element) {
            last.heapIndex = position;
            this.elements[position] = last;
            this.update(last);
        }
    }

    /** Restores the order after an element's key changed; does nothing if the element is in no heap. */
    public update(element: T): void {
        if (element.heapIndex === NOT_IN_HEAP) {
            return;
        }
        const previousPosition = element.heapIndex;
        this.siftUp(element, previousPosition);
        if (element.heapIndex === previousPosition) {
            this.siftDown(element, previousPosition);
        }
    }

    /** Rebuilds the order after the keys of many elements changed. */
    public updateAll(): void {
        for (let position = (this.elements.length >> 1) - 1; position >= 0; position--) {
            this.siftDown(this.elements[position]!, position);
        }
    }

    private siftUp(element: T, start: number): void {
        let position = start;
        while (position > 0) {
            const parentPosition = (position - 1) >> 1;
            const parent = this.elements[parentPosition]!;
            if (!this.isBefore(element, parent)) {
                break;
            }
            this.setAt(parent, position);
            position = parentPosition;
        }
        this.setAt(element, position);
    }

    private siftDown(element: T, start: number): void {
        const size = this.elements.length;
        let position = start;
        for (;;) {
            let childPosition = 2 * position + 1;
            if (childPosition >= size) {
                break;
            }
            const right = childPosition + 1;
            if (right < size && this.isBefore(this.elements[right]!, this.elements[childPosition]!)) {
                childPosition = right;
            }
            const child = this.elements[childPosition]!;
            if (!this.isBefore(child, element)) {
                break;
            }
            this.setAt(child, position);
            position = childPosition;
        }
        this.setAt(element, position);
    }

    private setAt(element: T, position: number): void {
        this.elements[position] = element;
        element.heapIndex = position;
    }
}

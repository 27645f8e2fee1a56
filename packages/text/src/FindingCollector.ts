import type { Finding, TextPosition } from "@skylarkpath/common/base/Finding";
import { escapeControlCharacters } from "./ControlCharacters.js";

/** Collects the findings of a text, remembers which paths are faulty and returns the findings in file order. */
export class FindingCollector {
    private readonly findings: Finding[] = [];
    private readonly faultyPaths = new Set<string>();

    /** Adds a finding that belongs to no path. */
    public add(position: TextPosition, message: string): void {
        this.findings.push({ position, message: escapeControlCharacters(message) });
    }

    /** Adds a finding about the value at a path such as `teams.dispatch.share`. */
    public report(position: TextPosition, path: string, message: string): void {
        this.add(position, `${path}: ${message}`);
        this.markFaulty(path);
    }

    /** Marks a path and all that contain it as not to be relied on. */
    public markFaulty(path: string): void {
        let end = path.length;
        while (end > 0) {
            this.faultyPaths.add(path.slice(0, end));
            end = path.lastIndexOf(".", end - 1);
        }
    }

    /** Tells whether the value at the path or a part of it has a finding. */
    public isFaulty(path: string): boolean {
        return this.faultyPaths.has(path);
    }

    public isEmpty(): boolean {
        return this.findings.length === 0;
    }

    public sortedByPosition(): readonly Finding[] {
        return [...this.findings].sort((left, right) => comparePositions(left.position, right.position));
    }
}

function comparePositions(left: TextPosition, right: TextPosition): number {
    return left.line - right.line || left.column - right.column;
}

import type { Finding, TextPosition } from "@skylarkpath/common/base/Finding";
import { escapeControlCharacters } from "./ControlCharacters.js";

/** Collects the findings of a text and records which paths, such as `teams.dispatch`, contain a faulty value. */
export class FindingCollector {
    private readonly findings: Finding[] = [];
    private readonly faultyPaths = new Set<string>();

    /** Adds a finding without marking a path as faulty. */
    public add(position: TextPosition, message: string): void {
        this.findings.push({ position, message: escapeControlCharacters(message) });
    }

    /** Adds a finding about the value at a path such as `teams.dispatch.share` and marks the path as faulty. */
    public report(position: TextPosition, path: string, message: string): void {
        this.add(position, `${path}: ${message}`);
        this.markFaulty(path);
    }

    /** Marks a path and all its parents as faulty, so that later checks can skip values that could not be read. */
    public markFaulty(path: string): void {
        let end = path.length;
        while (end > 0) {
            this.faultyPaths.add(path.slice(0, end));
            end = path.lastIndexOf(".", end - 1);
        }
    }

    /** Returns whether the value at the path, or a value inside of it, is marked as faulty. */
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

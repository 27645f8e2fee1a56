import type { Finding, TextPosition } from "@skylarkpath/common/base/Finding";
import type { Result } from "neverthrow";
import type { FindingCollector } from "./FindingCollector.js";
import { findNearestName } from "./NearestName.js";
import { type TomlEntry, TomlKind, type TomlTable } from "./TomlNode.js";
import { quote } from "./Units.js";
import { findNameFault, type ValueReader } from "./ValueReaders.js";

/** Reads the keys of one TOML table and reports missing, invalid and unknown ones. */
export class TableReader {
    private readonly knownKeys = new Set<string>();

    constructor(
        private readonly table: TomlTable,
        private readonly path: string,
        private readonly findings: FindingCollector
    ) {}

    public has(key: string): boolean {
        return this.table.entries.has(key);
    }

    /** Returns the position of a key's value, or of the table when the key is absent. */
    public positionOf(key: string): TextPosition {
        return this.table.entries.get(key)?.value.position ?? this.table.position;
    }

    /** Reads a required key; reports it and returns the fallback when it is missing or invalid. */
    public required<T>(key: string, reader: ValueReader<T>, fallback: T): T {
        const entry = this.lookUpKey(key);
        if (entry === undefined) {
            this.reportMissing(key);
            return fallback;
        }
        return this.valueOrReport(key, reader(entry.value), fallback);
    }

    /** Reads an optional key; returns the fallback when it is absent or invalid, and reports an invalid value. */
    public optional<T>(key: string, reader: ValueReader<T>, fallback: T): T {
        const entry = this.lookUpKey(key);
        return entry === undefined ? fallback : this.valueOrReport(key, reader(entry.value), fallback);
    }

    /** Reads a required table; when it is missing, only the table itself is reported, not the keys in it. */
    public requiredTable<T>(key: string, read: (reader: TableReader) => T): T {
        if (!this.has(key)) {
            this.reportMissing(key);
        }
        return this.optionalTable(key, read);
    }

    /** Reads an optional table; an absent one is read as an empty table without required keys. */
    public optionalTable<T>(key: string, read: (reader: TableReader) => T): T {
        const entry = this.lookUpKey(key);
        if (entry?.value.kind === TomlKind.Table) {
            return this.readTable(entry.value, key, read);
        }
        if (entry !== undefined) {
            this.report(entry.value.position, key, `expected a table, found a ${entry.value.kind}`);
        }
        return this.readTable(createAbsentTable(this.table.position), key, read);
    }

    /** Reads a table whose entries are tables with names chosen by the operator, such as the teams. */
    public namedTables<T>(key: string, read: (name: string, reader: TableReader) => T): readonly T[] {
        const entry = this.lookUpKey(key);
        if (entry === undefined) {
            return [];
        }
        if (entry.value.kind !== TomlKind.Table) {
            this.report(entry.value.position, key, `expected a table, found a ${entry.value.kind}`);
            return [];
        }
        const results: T[] = [];
        for (const [name, child] of entry.value.entries) {
            this.checkName(key, name, child);
            if (child.value.kind === TomlKind.Table) {
                results.push(this.readTable(child.value, `${key}.${name}`, reader => read(name, reader)));
            }
            else {
                this.report(child.keyPosition, `${key}.${name}`, `expected a table, found a ${child.value.kind}`);
            }
        }
        return results;
    }

    /** Reports a finding about a key of this table. */
    public report(position: TextPosition, key: string, message: string): void {
        this.findings.report(position, this.pathOf(key), message);
    }

    private readTable<T>(table: TomlTable, key: string, read: (reader: TableReader) => T): T {
        const reader = new TableReader(table, this.pathOf(key), this.findings);
        const value = read(reader);
        reader.reportUnknownKeys();
        return value;
    }

    /** Reports the keys that no earlier call has read. */
    public reportUnknownKeys(): void {
        for (const [key, entry] of this.table.entries) {
            if (!this.knownKeys.has(key)) {
                const nearest = findNearestName(key, this.knownKeys);
                const hint = nearest === undefined ? "" : `; the nearest known key is ${quote(nearest)}`;
                this.report(entry.keyPosition, key, `unknown key ${quote(key)}${hint}`);
            }
        }
    }

    /** Returns the entry of a key, if any, and adds the key to the known ones. */
    private lookUpKey(key: string): TomlEntry | undefined {
        this.knownKeys.add(key);
        return this.table.entries.get(key);
    }

    private checkName(key: string, name: string, entry: TomlEntry): void {
        const fault = findNameFault(name);
        if (fault !== undefined) {
            this.report(entry.keyPosition, key, fault);
        }
    }

    private valueOrReport<T>(key: string, result: Result<T, readonly Finding[]>, fallback: T): T {
        if (result.isOk()) {
            return result.value;
        }
        for (const finding of result.error) {
            this.report(finding.position, key, finding.message);
        }
        return fallback;
    }

    /**
     * Reports a required key that is absent. In an incomplete table the key may be on a line that could not be read,
     * so that it is only marked as faulty.
     */
    public reportMissing(key: string, alternative = ""): void {
        if (this.table.incomplete) {
            this.findings.markFaulty(this.pathOf(key));
            return;
        }
        this.report(
            this.table.position,
            key,
            `the required key ${quote(key)} ${alternative === "" ? "" : `${alternative} `}is missing`
        );
    }

    private pathOf(key: string): string {
        return this.path === "" ? key : `${this.path}.${key}`;
    }
}

/** Returns an empty table marked as incomplete, so that none of its keys is reported as missing. */
function createAbsentTable(position: TextPosition): TomlTable {
    return { kind: TomlKind.Table, position, entries: new Map(), incomplete: true };
}

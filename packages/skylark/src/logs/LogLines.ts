/** Event read from a log line. */
export interface LogLine {
    readonly wallClockMs: number;
    readonly machine: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

const COMMON_FIELDS = new Set(["wallClockMs", "machine", "message", "number", "level"]);

/** Parses log texts to events sorted by time; ignores lines without an event and any prefix before a line's JSON. */
export function readLogLines(texts: readonly string[]): readonly LogLine[] {
    const lines = texts.flatMap(text => text.split("\n")).flatMap(parseLine);
    return lines.sort((left, right) => left.wallClockMs - right.wallClockMs);
}

/** Returns the events that mention a request, and owner changes and lost workers between the first and last of them. */
export function selectRequestLines(lines: readonly LogLine[], requestId: string): readonly LogLine[] {
    const requestLines = lines.filter(line => mentionsRequest(line, requestId));
    const first = requestLines[0];
    const last = requestLines.at(-1);
    if (!first || !last) {
        return [];
    }
    return lines.filter(line =>
        mentionsRequest(line, requestId)
        || (OWNERSHIP_EVENTS.has(line.event) && line.wallClockMs >= first.wallClockMs
            && line.wallClockMs <= last.wallClockMs)
    );
}

/** Renders events as text, one per line, with the time since the first event. */
export function renderLogLines(lines: readonly LogLine[]): string {
    const firstMs = lines[0]?.wallClockMs ?? 0;
    return lines.map(({ wallClockMs, machine, event, fields }) => {
        const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
        return `+${((wallClockMs - firstMs) / 1000).toFixed(3)}s ${machine} ${event} ${details}`.trimEnd();
    }).join("\n");
}

const OWNERSHIP_EVENTS = new Set(["slice-acquired", "slice-lost", "slice-handed-over", "worker-lost"]);

function mentionsRequest({ fields }: LogLine, requestId: string): boolean {
    return Object.values(fields).some(value =>
        typeof value === "string" && (value === requestId || value.startsWith(`${requestId}.`)
            || value.endsWith(`/${requestId}`))
    );
}

function parseLine(text: string): LogLine[] {
    const start = text.indexOf("{");
    if (start < 0) {
        return [];
    }
    try {
        const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const { wallClockMs, machine, message } = value;
        if (typeof wallClockMs !== "number" || typeof message !== "string") {
            return [];
        }
        const fields = Object.fromEntries(Object.entries(value).filter(([name]) => !COMMON_FIELDS.has(name)));
        return [{ wallClockMs, machine: typeof machine === "string" ? machine : "", event: message, fields }];
    }
    catch {
        return [];
    }
}

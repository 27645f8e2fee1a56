import { err, ok, type Result } from "neverthrow";

const MILLISECONDS_BY_UNIT: ReadonlyMap<string, number> = new Map([
    ["ms", 1],
    ["s", 1_000],
    ["m", 60_000],
    ["h", 3_600_000]
]);

const BYTES_BY_UNIT: ReadonlyMap<string, number> = new Map([
    ["KB", 1_000],
    ["MB", 1_000_000],
    ["GB", 1_000_000_000],
    ["TB", 1_000_000_000_000],
    ["KiB", 1_024],
    ["MiB", 1_048_576],
    ["GiB", 1_073_741_824],
    ["TiB", 1_099_511_627_776]
]);

const AMOUNT = /^(-?\d+(?:\.\d+)?)\s*([A-Za-z]*)$/;

/** Parses a duration such as "800ms", "30s", "5m" or "2h" to milliseconds; the error describes the fault. */
export function parseDurationMs(text: string): Result<number, string> {
    return parseAmount(text, MILLISECONDS_BY_UNIT, "a duration such as \"800ms\", \"30s\", \"5m\" or \"2h\"");
}

/** Parses a memory size such as "512MiB" or "64GiB" to bytes; the error describes the fault. */
export function parseMemoryBytes(text: string): Result<number, string> {
    return parseAmount(text, BYTES_BY_UNIT, "a size such as \"512MiB\" or \"64GiB\"");
}

function parseAmount(
    text: string,
    factorByUnit: ReadonlyMap<string, number>,
    expected: string
): Result<number, string> {
    const match = AMOUNT.exec(text);
    if (!match) {
        return err(`expected ${expected}, found ${quote(text)}`);
    }
    const factor = factorByUnit.get(match[2]);
    if (factor === undefined) {
        const problem = match[2] === "" ? "the unit is missing" : `unknown unit ${quote(match[2])}`;
        return err(`${problem} in ${quote(text)}; expected one of ${[...factorByUnit.keys()].join(", ")}`);
    }
    return toSafeInteger(text, Number(match[1]) * factor);
}

function toSafeInteger(text: string, amount: number): Result<number, string> {
    if (amount < 0) {
        return err(`${quote(text)} must not be negative`);
    }
    const whole = Math.round(amount);
    if (!Number.isSafeInteger(whole)) {
        return err(`${quote(text)} is too large`);
    }
    return ok(whole);
}

const MAX_QUOTED_CHARACTERS = 80;

/** Quotes a part of the input for a message and truncates it when it is long. */
export function quote(text: string): string {
    const shortened = text.length > MAX_QUOTED_CHARACTERS
        ? `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`
        : text;
    return JSON.stringify(shortened);
}

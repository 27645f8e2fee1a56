const MAX_DATE_MS = 8_640_000_000_000_000;

/** Renders wall-clock milliseconds as ISO 8601 in UTC, or as the plain number when a `Date` can't represent them. */
export function renderTime(wallClockMs: number): string {
    return Math.abs(wallClockMs) <= MAX_DATE_MS ? new Date(wallClockMs).toISOString() : String(wallClockMs);
}

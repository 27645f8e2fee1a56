import test from "ava";
import { readLogLines, renderLogLines, selectRequestLines } from "./LogLines.js";

const ID = "5c0e7a21d94b36f8";

function line(wallClockMs: number, machine: string, message: string, fields: object): string {
    return `  12.5 ${machine} ${
        JSON.stringify({ level: "info", number: 1, wallClockMs, machine, message, ...fields })
    }`;
}

const ENTRY_LOG = [
    line(2000, "e1", "request-accepted", { requestId: ID, team: "lab" }),
    "text without an event",
    "{ broken",
    line(2100, "e1", "request-refused", { path: "/q/0000000000000000" })
].join("\n");
const OWNER_LOG = [
    line(1000, "e2", "slice-acquired", { epoch: 1 }),
    line(2500, "e2", "slice-acquired", { epoch: 2 }),
    line(2600, "e2", "start-refused", { task: `${ID}.0.0.1`, reason: "no-room" }),
    line(3000, "e2", "request-ended", { requestId: ID, state: "completed" })
].join("\n");

test("events of all files are sorted by time, and lines without an event are ignored", t => {
    const lines = readLogLines([OWNER_LOG, ENTRY_LOG]);
    t.deepEqual(lines.map(each => each.wallClockMs), [1000, 2000, 2100, 2500, 2600, 3000]);
});

test("the events of a request include changes of the slice owner that were logged between them", t => {
    const found = selectRequestLines(readLogLines([OWNER_LOG, ENTRY_LOG]), ID);
    t.is(
        renderLogLines(found),
        [
            `+0.000s e1 request-accepted requestId=${ID} team=lab`,
            "+0.500s e2 slice-acquired epoch=2",
            `+0.600s e2 start-refused task=${ID}.0.0.1 reason=no-room`,
            `+1.000s e2 request-ended requestId=${ID} state=completed`
        ].join("\n")
    );
    t.deepEqual(selectRequestLines(readLogLines([OWNER_LOG]), "ffffffffffffffff"), []);
});

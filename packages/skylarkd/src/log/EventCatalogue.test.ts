import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import test from "ava";
import { readFileSync } from "node:fs";

const ROW = /^\| (\d+) \| `([a-z-]+)` \| (\w+) \| (.+) \|$/;

test("the catalogue page lists exactly the events of the code", t => {
    const page = readFileSync(new URL("../../../../docs/EVENTS.md", import.meta.url), "utf8");
    const listed = page.split("\n").flatMap(line => {
        const match = ROW.exec(line);
        return match ? [match.slice(1).join(" ")] : [];
    });
    const defined = Object.values(EVENTS)
        .map(event => `${event.number} ${event.name} ${event.level} ${event.description}`);
    t.deepEqual(listed, [...defined].sort());
});

test("numbers and names of events are unique", t => {
    const events = Object.values(EVENTS);
    t.is(new Set(events.map(event => event.number)).size, events.length);
    t.is(new Set(events.map(event => event.name)).size, events.length);
});

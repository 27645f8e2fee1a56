import test from "ava";
import type { RowChange } from "../ports/RowStore.js";
import { EvacuatedDomains } from "./EvacuatedDomains.js";

function row(key: string, value: string | undefined = ""): RowChange {
    return { table: "t", partition: "", key, value, version: 1 };
}

test("a full read replaces the evacuated failure domains, a removed row takes one back, other rows do not count", t => {
    const domains = new EvacuatedDomains({
        evacuatedDomain: key => key.startsWith("off/") ? key.slice(4) : undefined
    });
    const { current } = domains;
    t.true(domains.apply({ whole: true, changes: [row("config", "text"), row("off/north"), row("off/south", "{]")] }));
    t.deepEqual([...current], ["north", "south"]);
    t.false(domains.apply({ whole: false, changes: [row("config", "other")] }));
    t.true(domains.apply({ whole: false, changes: [{ ...row("off/north"), value: undefined }, row("off/east")] }));
    t.deepEqual([...current], ["south", "east"]);
    t.true(domains.apply({ whole: true, changes: [row("off/east"), row("config")] }));
    t.deepEqual([...current], ["east"]);
    const moved = [row("off/west"), { ...row("off/west"), value: undefined }];
    t.false(domains.apply({ whole: false, changes: moved }));
});

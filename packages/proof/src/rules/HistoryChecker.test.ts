import test from "ava";
import { HistoryRun } from "../histories/HistoryRun.js";
import { ALL_MUTANTS } from "../mutants/AllMutants.js";
import { ALL_RULES } from "./HistoryChecker.js";

for (const mutant of ALL_MUTANTS) {
    test(`${mutant.rule.name} detects that ${mutant.name}`, async t => {
        const { broken, common, rule, script } = mutant;
        const correctHistory = await new HistoryRun(script, common).run();
        t.deepEqual(rule.check(correctHistory), []);
        const brokenHistory = await new HistoryRun(script, { ...common, ...broken }).run();
        t.not(rule.check(brokenHistory).length, 0);
    });
}

test("each rule has a mutant that it detects", t => {
    const covered = new Set(ALL_MUTANTS.map(mutant => mutant.rule.name));
    t.deepEqual(ALL_RULES.map(rule => rule.name).filter(name => !covered.has(name)), []);
});

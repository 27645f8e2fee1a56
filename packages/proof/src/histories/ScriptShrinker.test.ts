import test from "ava";
import { composeScript } from "./ScriptComposer.js";
import { shrinkScript } from "./ScriptShrinker.js";
import { StepKind } from "./ScriptStep.js";

const MAX_RUNS = 1000;

test("a failing script shrinks to the steps that cause the failure", async t => {
    const script = composeScript(7);
    const needed = [script.steps[2]!, script.steps.findLast(step => step.action.kind === StepKind.Submit)!];
    const shrunk = await shrinkScript(
        script,
        async candidate => needed.every(step => candidate.steps.includes(step)),
        MAX_RUNS
    );
    t.deepEqual(shrunk.steps, needed);
    t.true(script.steps.length > needed.length);
});

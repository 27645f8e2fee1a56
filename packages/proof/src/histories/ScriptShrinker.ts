import fastCheck from "fast-check";
import type { FaultScript } from "./ScriptStep.js";

/** Tells whether a script still shows the breach that is looked for. */
export type BreachCheck = (script: FaultScript) => Promise<boolean>;

/** Finds a small part of a failing script that still fails, by leaving out steps. */
export async function shrinkScript(script: FaultScript, fails: BreachCheck, maxRuns: number): Promise<FaultScript> {
    let remainingRuns = maxRuns;
    const masks = fastCheck.tuple(...script.steps.map(() => fastCheck.boolean()));
    const property = fastCheck.asyncProperty(masks, async mask => {
        remainingRuns--;
        return remainingRuns < 0 || !(await fails(applyMask(script, mask)));
    });
    const wholeScript = script.steps.map(() => true);
    const details = await fastCheck.check(property, { numRuns: 1, examples: [[wholeScript]], seed: script.seed });
    return details.counterexample ? applyMask(script, details.counterexample[0]) : script;
}

function applyMask(script: FaultScript, mask: readonly boolean[]): FaultScript {
    return { ...script, steps: script.steps.filter((step, place) => mask[place] && step) };
}

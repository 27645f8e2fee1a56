import fastCheck from "fast-check";
import type { FaultScript } from "./ScriptStep.js";

/** Returns whether a script still shows the violation under investigation. */
export type ViolationCheck = (script: FaultScript) => Promise<boolean>;

/** Removes steps of a failing script while it still fails, in at most `maxRuns` runs. */
export async function shrinkScript(
    script: FaultScript,
    isViolating: ViolationCheck,
    maxRuns: number
): Promise<FaultScript> {
    let remainingRuns = maxRuns;
    const masks = fastCheck.tuple(...script.steps.map(() => fastCheck.boolean()));
    const property = fastCheck.asyncProperty(masks, async mask => {
        remainingRuns--;
        return remainingRuns < 0 || !(await isViolating(applyMask(script, mask)));
    });
    const fullMask = script.steps.map(() => true);
    const details = await fastCheck.check(property, { numRuns: 1, examples: [[fullMask]], seed: script.seed });
    return details.counterexample ? applyMask(script, details.counterexample[0]) : script;
}

function applyMask(script: FaultScript, mask: readonly boolean[]): FaultScript {
    return { ...script, steps: script.steps.filter((step, index) => mask[index] && step) };
}

import type { FaultScript } from "../histories/ScriptStep.js";
import type { HistoryRule } from "../rules/HistoryRule.js";
import type { VirtualDeploymentOptions } from "../VirtualDeployment.js";

/** Deliberately broken build that a rule must find, with a history in which the fault shows. */
export interface Mutant {
    readonly name: string;
    readonly rule: HistoryRule;
    readonly script: FaultScript;
    /** Options of the sound and of the broken build. */
    readonly common?: Partial<VirtualDeploymentOptions>;
    /** What breaks the build. */
    readonly broken: Partial<VirtualDeploymentOptions>;
}

import type { FaultScript } from "../histories/ScriptStep.js";
import type { HistoryRule } from "../rules/HistoryRule.js";
import type { VirtualDeploymentOptions } from "../VirtualDeployment.js";

/** Deliberately introduced fault that a rule must detect, with the script of a history in which it shows. */
export interface Mutant {
    readonly name: string;
    readonly rule: HistoryRule;
    readonly script: FaultScript;
    /** Options of both the correct and the broken deployment. */
    readonly common?: Partial<VirtualDeploymentOptions>;
    /** Options that introduce the fault. */
    readonly broken: Partial<VirtualDeploymentOptions>;
}

import type { History } from "../history/History.js";
import { AtMostOnceRule } from "./AtMostOnceRule.js";
import { ConfigRule } from "./ConfigRule.js";
import { EndsRule } from "./EndsRule.js";
import { GracefulStopRule } from "./GracefulStopRule.js";
import { HandOverRule } from "./HandOverRule.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { LeavingRule } from "./LeavingRule.js";
import { NeverLostRule } from "./NeverLostRule.js";
import { NotRunRule } from "./NotRunRule.js";
import { OnePlaceRule } from "./OnePlaceRule.js";
import { TaskOnceRule } from "./TaskOnceRule.js";
import { TeamKeyRule } from "./TeamKeyRule.js";
import { TeamLimitRule } from "./TeamLimitRule.js";
import { WholeAnswerRule } from "./WholeAnswerRule.js";
import { WorkerCapacityRule } from "./WorkerCapacityRule.js";

/** Rules for the ten guarantees of the system, and for accepted requests. */
export const ALL_RULES: readonly HistoryRule[] = [
    new WorkerCapacityRule(),
    new OnePlaceRule(),
    new TeamKeyRule(),
    new TeamLimitRule(),
    new WholeAnswerRule(),
    new NotRunRule(),
    new AtMostOnceRule(),
    new TaskOnceRule(),
    new LeavingRule(),
    new GracefulStopRule(),
    new HandOverRule(),
    new ConfigRule(),
    new NeverLostRule(),
    new EndsRule()
];

/** Checks a history against a set of rules. */
export class HistoryChecker {
    constructor(private readonly rules: readonly HistoryRule[] = ALL_RULES) {}

    /** Returns the violations of all rules, ordered by time. */
    public check(history: History): readonly Violation[] {
        return this.rules
            .flatMap(rule => rule.check(history))
            .sort((left, right) => left.atMs - right.atMs);
    }
}

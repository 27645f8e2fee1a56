import type { History } from "../history/History.js";
import { HistoryChecker } from "../rules/HistoryChecker.js";
import type { Violation } from "../rules/HistoryRule.js";
import { describeViolation, summarizeViolation } from "./HistoryReport.js";
import { HistoryRun } from "./HistoryRun.js";
import { composeScript } from "./ScriptComposer.js";
import { shrinkScript } from "./ScriptShrinker.js";
import type { FaultScript } from "./ScriptStep.js";

/** Options of a batch of histories. */
export interface HistoryBatchOptions {
    /** Prints the related events of each violation. */
    readonly trace: boolean;
    /** Shrinks each script that shows a violation and prints the remaining steps. */
    readonly shrink: boolean;
    readonly write: (line: string) => void;
}

interface CheckedHistory {
    readonly history: History;
    readonly violations: readonly Violation[];
}

const MAX_SHRINK_RUNS = 400;

/** Runs histories of consecutive seeds one after the other and reports the violations that the rules find. */
export class HistoryBatch {
    private readonly checker = new HistoryChecker();
    private readonly countsByRule = new Map<string, number>();

    constructor(private readonly options: HistoryBatchOptions) {}

    /** Runs a range of seeds and returns the number of histories with violations. */
    public async run(firstSeed: number, count: number): Promise<number> {
        let violatingCount = 0;
        for (let seed = firstSeed; seed < firstSeed + count; seed++) {
            const { history, violations } = await this.runAndCheck(composeScript(seed));
            if (violations.length > 0) {
                violatingCount++;
                this.report(seed, history, violations);
                await this.reportShrunk(seed, violations[0]!);
            }
        }
        const range = `seeds ${firstSeed} to ${firstSeed + count - 1}`;
        this.options.write(`${range}: ${count} histories, ${violatingCount} with violations`);
        this.countsByRule.forEach((total, rule) => this.options.write(`${rule}: ${total}`));
        return violatingCount;
    }

    private async runAndCheck(script: FaultScript): Promise<CheckedHistory> {
        const history = await new HistoryRun(script).run();
        return { history, violations: this.checker.check(history) };
    }

    private report(seed: number, history: History, violations: readonly Violation[]): void {
        for (const violation of violations) {
            this.countsByRule.set(violation.rule, (this.countsByRule.get(violation.rule) ?? 0) + 1);
            const text = this.options.trace ? describeViolation(history, violation) : summarizeViolation(violation);
            this.options.write(`seed ${seed}: ${text}`);
        }
    }

    private async reportShrunk(seed: number, violation: Violation): Promise<void> {
        if (!this.options.shrink) {
            return;
        }
        const stillViolates = async (script: FaultScript): Promise<boolean> => {
            const { violations } = await this.runAndCheck(script);
            return violations.some(candidate => candidate.rule === violation.rule);
        };
        const shrunk = await shrinkScript(composeScript(seed), stillViolates, MAX_SHRINK_RUNS);
        const { history, violations } = await this.runAndCheck(shrunk);
        const steps = shrunk.steps.map(step => `    ${JSON.stringify(step)}`).join("\n");
        this.options.write(`seed ${seed} shrunk to ${shrunk.steps.length} steps:\n${steps}`);
        const sameRuleViolation = violations.find(candidate => candidate.rule === violation.rule);
        if (sameRuleViolation) {
            this.options.write(describeViolation(history, sameRuleViolation));
        }
    }
}

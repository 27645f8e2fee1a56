import { DEFAULT_PROCESS_OPTIONS, type ProcessOptions } from "@skylarkpath/control/process/ProcessOptions";
import { Callers } from "../history/Callers.js";
import { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import { HistoryRecorder } from "../history/HistoryRecorder.js";
import { Operators } from "../history/Operators.js";
import { OPEN_STORE_LINK, withStoreLink } from "../host/StoreLink.js";
import { isConclusive } from "../rules/RequestView.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment, type VirtualDeploymentOptions } from "../VirtualDeployment.js";
import { FaultInjector } from "./FaultInjector.js";
import { composeConfigText, INITIAL_VARIANT, TEAMS } from "./HistoryConfig.js";
import { HISTORY_TOPOLOGY, PROCESS_IDS } from "./HistoryTopology.js";
import { servingBehaviorOf, taskBehaviorOf } from "./RequestPayload.js";
import { SCRIPT_DURATION_MS } from "./ScriptComposer.js";
import { ScriptRunner } from "./ScriptRunner.js";
import type { FaultScript } from "./ScriptStep.js";

const STARTUP_MS = 1500;
const SETTLE_MS = 3000;
const MIN_QUIESCE_MS = 16_000;
const QUIESCE_STEP_MS = 10_000;
const MAX_QUIESCE_MS = 400_000;

/** Process options of histories: short leases, so that they expire within a history. */
const HISTORY_PROCESS_OPTIONS: ProcessOptions = {
    ...DEFAULT_PROCESS_OPTIONS,
    taskLeaseMs: 4000,
    reloadIntervalMs: 2500,
    stopTimeoutMs: 20_000
};

/** Runs the script of one history on a virtual deployment, ends all faults and waits until open requests finish. */
export class HistoryRun {
    private readonly deployment: VirtualDeployment;
    private readonly runner: ScriptRunner;
    private readonly operators: Operators;
    private readonly callers: Callers;
    private faults: FaultInjector | undefined;
    private recorder: HistoryRecorder | undefined;

    public readonly history: History;

    constructor(private readonly script: FaultScript, overrides: Partial<VirtualDeploymentOptions> = {}) {
        const clock = { nowMs: (): number => this.deployment?.timer.nowMs() ?? 0 };
        this.history = new History(clock);
        this.deployment = new VirtualDeployment(this.composeOptions(overrides));
        this.callers = new Callers(this.history, this.deployment);
        this.operators = new Operators(this.history, this.deployment);
        this.runner = new ScriptRunner({
            timer: this.deployment.timer,
            history: this.history,
            deployment: this.deployment,
            callers: this.callers,
            operators: this.operators,
            faults: this.faults!
        });
    }

    /** Runs the whole script and returns the recorded history. */
    public async run(): Promise<History> {
        await this.setUp();
        this.runner.schedule(this.script);
        await this.deployment.timer.advance(SCRIPT_DURATION_MS);
        this.runner.endFaults();
        await this.quiesce();
        this.recorder?.dispose();
        return this.history;
    }

    private composeOptions(overrides: Partial<VirtualDeploymentOptions>): VirtualDeploymentOptions {
        const changeEnvironment = overrides.changeEnvironment ?? DEFAULT_DEPLOYMENT_OPTIONS.changeEnvironment;
        return {
            ...DEFAULT_DEPLOYMENT_OPTIONS,
            topology: HISTORY_TOPOLOGY,
            seed: this.script.seed,
            processOptions: HISTORY_PROCESS_OPTIONS,
            taskBehaviorOf,
            servingBehaviorOf,
            clockRateOf: machineId => this.script.clockRates[machineId] ?? 1,
            ...overrides,
            beforeStart: deployment => {
                this.faults = new FaultInjector(this.history, deployment, this.script.seed);
                this.recorder = new HistoryRecorder(this.history, deployment);
            },
            changeEnvironment: environment => {
                const { processId } = environment.identity;
                const currentLink = () => this.faults?.storeLinkOf(processId) ?? OPEN_STORE_LINK;
                return changeEnvironment(withStoreLink(environment, currentLink));
            }
        };
    }

    private async setUp(): Promise<void> {
        const { timer } = this.deployment;
        const processId = PROCESS_IDS[0]!;
        await timer.advance(STARTUP_MS);
        const version = await timer.advanceUntil(
            this.operators.apply(processId, composeConfigText(INITIAL_VARIANT), 0)
        );
        this.runner.updateAppliedVersion(version ?? 0);
        for (const team of TEAMS) {
            const key = await timer.advanceUntil(this.operators.grant(processId, team));
            if (key) {
                this.runner.setKey(key);
            }
        }
        await timer.advance(SETTLE_MS);
    }

    /** Advances time until every accepted request has a conclusive outcome or the time limit is reached. */
    private async quiesce(): Promise<void> {
        const { timer } = this.deployment;
        const endMs = timer.nowMs() + MAX_QUIESCE_MS;
        await timer.advance(MIN_QUIESCE_MS);
        await this.queryOpenOutcomes();
        while (this.hasOpenSubmissions() && timer.nowMs() < endMs) {
            await timer.advance(QUIESCE_STEP_MS);
            await this.queryOpenOutcomes();
        }
        this.history.record({ kind: HistoryEventKind.Quiesced });
    }

    private async queryOpenOutcomes(): Promise<void> {
        const openIds = this.openSubmissionIds();
        const entries = this.deployment.processes;
        const openSubmissions = this.runner.submissions.filter(({ submissionId }) => openIds.has(submissionId));
        await this.deployment.timer.advanceUntil(Promise.all(openSubmissions.map((submission, index) => {
            const entryId = entries[index % entries.length]!.machine.machineId;
            const team = this.teamOf(submission.submissionId);
            return this.callers.queryOutcome(
                submission,
                entryId,
                team === undefined ? undefined : this.runner.keyOf(team)
            );
        })));
    }

    private teamOf(submissionId: string): string | undefined {
        const key = this.runner.submissions.find(candidate => candidate.submissionId === submissionId)?.key;
        return this.history.eventsOfKind(HistoryEventKind.KeyGranted).find(event => event.key === key)?.team;
    }

    private hasOpenSubmissions(): boolean {
        return this.openSubmissionIds().size > 0;
    }

    /** Submissions that got a request id but no conclusive reply yet. */
    private openSubmissionIds(): ReadonlySet<string> {
        const openIds = new Set<string>();
        for (const event of this.history.eventsOfKind(HistoryEventKind.ReplyReceived)) {
            if (event.requestId !== undefined) {
                openIds.add(event.submissionId);
            }
        }
        for (const event of this.history.eventsOfKind(HistoryEventKind.ReplyReceived)) {
            if (isConclusive(event)) {
                openIds.delete(event.submissionId);
            }
        }
        return openIds;
    }
}

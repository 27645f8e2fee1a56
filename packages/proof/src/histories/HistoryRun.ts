import { DEFAULT_PROCESS_OPTIONS, type ProcessOptions } from "@skylarkpath/control/process/ProcessOptions";
import { Callers } from "../history/Callers.js";
import { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import { HistoryRecorder } from "../history/HistoryRecorder.js";
import { Operators } from "../history/Operators.js";
import { OPEN_STORE_LINK, withStoreLink } from "../host/StoreLink.js";
import { isVerdict } from "../rules/RequestView.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment, type VirtualDeploymentOptions } from "../VirtualDeployment.js";
import { FaultInjector } from "./FaultInjector.js";
import { composeText, FIRST_VARIANT, TEAMS } from "./HistoryText.js";
import { HISTORY_TOPOLOGY, PROCESS_IDS } from "./HistoryTopology.js";
import { servingBehaviorOf, taskBehaviorOf } from "./RequestPayload.js";
import { SCRIPT_DURATION_MS } from "./ScriptComposer.js";
import { ScriptRunner } from "./ScriptRunner.js";
import type { FaultScript } from "./ScriptStep.js";

const START_MS = 1500;
const SETTLE_MS = 3000;
const MINIMUM_QUIESCE_MS = 16_000;
const QUIESCE_STEP_MS = 10_000;
const QUIESCE_LIMIT_MS = 400_000;

/** Timing of processes in histories: short leases, so that they lapse within a history. */
const HISTORY_PROCESS_OPTIONS: ProcessOptions = {
    ...DEFAULT_PROCESS_OPTIONS,
    taskLeaseMs: 4000,
    reloadIntervalMs: 2500,
    stopTimeoutMs: 20_000
};

/** Runs the script of one history on a virtual deployment: faults, healing, quiescence. */
export class HistoryRun {
    private readonly deployment: VirtualDeployment;
    private readonly runner: ScriptRunner;
    private readonly operators: Operators;
    private readonly callers: Callers;
    private faults: FaultInjector | undefined;
    private recorder: HistoryRecorder | undefined;

    public readonly history: History;

    constructor(private readonly script: FaultScript, changes: Partial<VirtualDeploymentOptions> = {}) {
        const clock = { nowMs: (): number => this.deployment?.timer.nowMs() ?? 0 };
        this.history = new History(clock);
        this.deployment = new VirtualDeployment(this.composeOptions(changes));
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

    /** Runs the history to its end. */
    public async run(): Promise<History> {
        await this.setUp();
        this.runner.schedule(this.script);
        await this.deployment.timer.advance(SCRIPT_DURATION_MS);
        this.runner.heal();
        await this.quiesce();
        this.recorder?.dispose();
        return this.history;
    }

    private composeOptions(changes: Partial<VirtualDeploymentOptions>): VirtualDeploymentOptions {
        const changeEnvironment = changes.changeEnvironment ?? DEFAULT_DEPLOYMENT_OPTIONS.changeEnvironment;
        return {
            ...DEFAULT_DEPLOYMENT_OPTIONS,
            topology: HISTORY_TOPOLOGY,
            seed: this.script.seed,
            processOptions: HISTORY_PROCESS_OPTIONS,
            taskBehaviorOf,
            servingBehaviorOf,
            clockRateOf: machineId => this.script.clockRates[machineId] ?? 1,
            ...changes,
            beforeStart: deployment => {
                this.faults = new FaultInjector(this.history, deployment, this.script.seed);
                this.recorder = new HistoryRecorder(this.history, deployment);
            },
            changeEnvironment: environment => {
                const { processId } = environment.identity;
                const linkNow = () => this.faults?.storeLinkOf(processId) ?? OPEN_STORE_LINK;
                return changeEnvironment(withStoreLink(environment, linkNow));
            }
        };
    }

    private async setUp(): Promise<void> {
        const { timer } = this.deployment;
        const processId = PROCESS_IDS[0]!;
        await timer.advance(START_MS);
        const version = await timer.advanceUntil(this.operators.apply(processId, composeText(FIRST_VARIANT), 0));
        this.runner.noteVersion(version ?? 0);
        for (const team of TEAMS) {
            const key = await timer.advanceUntil(this.operators.grant(processId, team));
            if (key) {
                this.runner.noteKey(key);
            }
        }
        await timer.advance(SETTLE_MS);
    }

    /** Lets time pass until every accepted request has ended, and asks for the outcomes. */
    private async quiesce(): Promise<void> {
        const { timer } = this.deployment;
        const endMs = timer.nowMs() + QUIESCE_LIMIT_MS;
        await timer.advance(MINIMUM_QUIESCE_MS);
        await this.askAll();
        while (this.hasOpen() && timer.nowMs() < endMs) {
            await timer.advance(QUIESCE_STEP_MS);
            await this.askAll();
        }
        this.history.record({ kind: HistoryEventKind.Quiesced });
    }

    private async askAll(): Promise<void> {
        const open = this.openSubmissionIds();
        const entries = this.deployment.processes;
        const asked = this.runner.submissions.filter(({ submissionId }) => open.has(submissionId));
        await this.deployment.timer.advanceUntil(Promise.all(asked.map((submission, place) => {
            const entry = entries[place % entries.length]!.machine.machineId;
            const team = this.teamOf(submission.submissionId);
            return this.callers.ask(submission, entry, team === undefined ? undefined : this.runner.keyOf(team));
        })));
    }

    private teamOf(submissionId: string): string | undefined {
        const key = this.runner.submissions.find(candidate => candidate.submissionId === submissionId)?.key;
        return this.history.of(HistoryEventKind.KeyGranted).find(event => event.key === key)?.team;
    }

    private hasOpen(): boolean {
        return this.openSubmissionIds().size > 0;
    }

    /** Submissions whose callers wait for the verdict on a request that was accepted. */
    private openSubmissionIds(): ReadonlySet<string> {
        const open = new Set<string>();
        for (const event of this.history.of(HistoryEventKind.Told)) {
            if (event.requestId !== undefined) {
                open.add(event.submissionId);
            }
        }
        for (const event of this.history.of(HistoryEventKind.Told)) {
            if (isVerdict(event)) {
                open.delete(event.submissionId);
            }
        }
        return open;
    }
}

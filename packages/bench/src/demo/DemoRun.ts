import type { ClusterConfig } from "@skylarkpath/common/model/ClusterConfig";
import { addResources, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { createSeededRandom, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { FaultInjector } from "@skylarkpath/proof/histories/FaultInjector";
import { composePayload, servingBehaviorOf, taskBehaviorOf } from "@skylarkpath/proof/histories/RequestPayload";
import { StepKind } from "@skylarkpath/proof/histories/ScriptStep";
import { Callers } from "@skylarkpath/proof/history/Callers";
import { History } from "@skylarkpath/proof/history/History";
import { HistoryEventKind, type Submission } from "@skylarkpath/proof/history/HistoryEvent";
import { HistoryRecorder } from "@skylarkpath/proof/history/HistoryRecorder";
import { type GrantedKey, Operators } from "@skylarkpath/proof/history/Operators";
import { OPEN_STORE_LINK, withStoreLink } from "@skylarkpath/proof/host/StoreLink";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment } from "@skylarkpath/proof/VirtualDeployment";
import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import { readFileSync } from "node:fs";
import type { DemoDefinition, DemoStream } from "./DemoTraffic.js";

/** Resources that the fleet uses at one time, and its capacity. */
export interface PackingSample {
    readonly used: Resources;
    readonly capacity: Resources;
}

/** Result of a demo run. */
export interface DemoResult {
    readonly history: History;
    readonly teamBySubmissionId: ReadonlyMap<string, string>;
    readonly packing: readonly PackingSample[];
}

/** Receives a line about the progress of a run, with its virtual time. */
export type ProgressListener = (atMs: number, line: string) => void;

const LOAD_DURATION_MS = 40_000;
const KILL_AT_MS = 8000;
const REPLACEMENT_DELAY_MS = 6000;
const CUT_AT_MS = 18_000;
const CUT_DURATION_MS = 10_000;
const SAMPLE_INTERVAL_MS = 500;
const POLL_INTERVAL_MS = 10_000;
const DRAIN_TIMEOUT_MS = 180_000;
const STARTUP_MS = 1500;
const SETTLE_MS = 6000;
const MILLISECONDS_PER_MINUTE = 60_000;

/** Runs one demo deployment in virtual time, under load and with injected faults. */
export class DemoRun {
    private readonly history: History;
    private readonly deployment: VirtualDeployment;
    private readonly callers: Callers;
    private readonly operators: Operators;
    private readonly random: RandomSource;
    private readonly submissions: Submission[] = [];
    private readonly teamBySubmissionId = new Map<string, string>();
    private readonly keys = new Map<string, GrantedKey>();
    private readonly packing: PackingSample[] = [];
    private faults: FaultInjector | undefined;

    constructor(
        private readonly definition: DemoDefinition,
        private readonly seed: number,
        private readonly onProgress: ProgressListener
    ) {
        this.random = createSeededRandom(seed);
        this.history = new History({ nowMs: (): number => this.deployment?.timer.nowMs() ?? 0 });
        this.deployment = this.createDeployment();
        this.callers = new Callers(this.history, this.deployment);
        this.operators = new Operators(this.history, this.deployment);
    }

    /** Runs the load with its faults and waits until all accepted requests have ended or the drain times out. */
    public async run(): Promise<DemoResult> {
        const { timer } = this.deployment;
        const text = await this.setUp();
        this.scheduleFaults();
        for (const stream of this.definition.streams) {
            this.scheduleStream(stream, text);
        }
        timer.every(SAMPLE_INTERVAL_MS, () => this.samplePacking());
        await timer.advance(LOAD_DURATION_MS);
        this.reportProgress("the load ends; accepted requests go on");
        await this.drain();
        this.history.record({ kind: HistoryEventKind.Quiesced });
        return { history: this.history, teamBySubmissionId: this.teamBySubmissionId, packing: this.packing };
    }

    private createDeployment(): VirtualDeployment {
        return new VirtualDeployment({
            ...DEFAULT_DEPLOYMENT_OPTIONS,
            topology: this.definition.topology,
            seed: this.seed,
            taskBehaviorOf,
            servingBehaviorOf,
            beforeStart: deployment => {
                this.faults = new FaultInjector(this.history, deployment, this.seed);
                new HistoryRecorder(this.history, deployment);
            },
            changeEnvironment: environment => {
                const currentLink = () => this.faults?.storeLinkOf(environment.identity.processId) ?? OPEN_STORE_LINK;
                return withStoreLink(environment, currentLink);
            }
        });
    }

    private async setUp(): Promise<ClusterConfig> {
        const { timer } = this.deployment;
        const content = readFileSync(
            new URL(`../../../../examples/${this.definition.textFile}`, import.meta.url),
            "utf8"
        );
        const processId = this.firstProcessId;
        await timer.advance(STARTUP_MS);
        await timer.advanceUntil(this.operators.apply(processId, content, 0));
        const text = parseClusterConfig(content)._unsafeUnwrap();
        for (const team of text.teams) {
            const key = await timer.advanceUntil(this.operators.grant(processId, team.name));
            this.keys.set(team.name, key!);
        }
        await timer.advance(SETTLE_MS);
        this.reportProgress(`${this.deployment.processes.length} processes serve; the text is in force`);
        return text;
    }

    private get firstProcessId(): string {
        return this.deployment.processes[0]!.machine.machineId;
    }

    private scheduleFaults(): void {
        const { timer } = this.deployment;
        const { killedProcess, cutFailureDomain, topology } = this.definition;
        timer.after(KILL_AT_MS, () => {
            this.reportProgress(`entry ${killedProcess} is killed`);
            const machine = this.deployment.machine(killedProcess);
            this.deployment.kill(killedProcess);
            timer.after(REPLACEMENT_DELAY_MS, () => {
                this.deployment.startProcess(machine, killedProcess);
                this.reportProgress(`a new VM takes the place of ${killedProcess}`);
            });
        });
        timer.after(CUT_AT_MS, () => {
            this.reportProgress(`failure domain ${cutFailureDomain} is cut off from the others and from the platform`);
            const cutOptions = { silent: true, durationMs: CUT_DURATION_MS };
            for (const { failureDomain } of topology.domains) {
                if (failureDomain !== cutFailureDomain) {
                    const cut = { from: cutFailureDomain, to: failureDomain, oneWay: false, ...cutOptions };
                    this.faults!.begin({ kind: StepKind.CutDomains, ...cut });
                }
            }
            this.faults!.begin({ kind: StepKind.CutStore, failureDomain: cutFailureDomain, ...cutOptions });
        });
        timer.after(
            CUT_AT_MS + CUT_DURATION_MS,
            () => this.reportProgress(`the links of ${cutFailureDomain} are back`)
        );
    }

    private scheduleStream(stream: DemoStream, text: ClusterConfig): void {
        const { timer } = this.deployment;
        const queue = text.queues.find(candidate => candidate.name === stream.queue)!;
        let atMs = 0;
        for (;;) {
            atMs += -Math.log(1 - this.random.next()) * MILLISECONDS_PER_MINUTE / stream.requestsPerMinute;
            if (atMs >= LOAD_DURATION_MS) {
                return;
            }
            timer.after(atMs, () => void this.submit(stream, queue));
        }
    }

    private async submit(stream: DemoStream, queue: ClusterConfig["queues"][number]): Promise<void> {
        const entries = this.deployment.processes.filter(({ process }) => process.isReady);
        const entry = entries[this.submissions.length % entries.length];
        if (!entry) {
            return;
        }
        const submissionId = `r${this.submissions.length}`;
        const payload = composePayload({ name: submissionId, durationMs: stream.durationMs, fails: false });
        const submission: Submission = {
            submissionId,
            processId: entry.machine.machineId,
            queue: queue.name,
            queueKind: queue.kind,
            queueIdempotent: queue.idempotent,
            queueOpen: queue.open,
            key: this.keys.get(stream.team)!.key,
            idempotencyKey: queue.idempotent ? undefined : submissionId,
            payload,
            taskCount: stream.tasks?.count ?? 0,
            processorMillicores: stream.tasks?.processorMillicores ?? 0
        };
        this.submissions.push(submission);
        this.teamBySubmissionId.set(submissionId, stream.team);
        const tasks = stream.tasks && { ...stream.tasks, declaredDurationMs: stream.durationMs };
        await this.callers.submit({ submission, body: { queue: queue.name, payload, tasks } });
    }

    private async drain(): Promise<void> {
        const { timer } = this.deployment;
        const timeoutAtMs = timer.nowMs() + DRAIN_TIMEOUT_MS;
        do {
            await timer.advance(POLL_INTERVAL_MS);
            const unfinished = this.unfinishedSubmissions();
            const processId = this.firstProcessId;
            await timer.advanceUntil(
                Promise.all(
                    unfinished.map(submission => this.callers.queryOutcome(submission, processId, submission.key))
                )
            );
        }
        while (this.unfinishedSubmissions().length > 0 && timer.nowMs() < timeoutAtMs);
    }

    private unfinishedSubmissions(): readonly Submission[] {
        const lastReplies = new Map(
            this.history.eventsOfKind(HistoryEventKind.ReplyReceived).map(event => [event.submissionId, event])
        );
        return this.submissions.filter(({ submissionId }) => {
            const state = lastReplies.get(submissionId)?.outcome.state;
            return state === "accepted" || state === "running";
        });
    }

    private samplePacking(): void {
        const { workers, workerCapacity } = this.deployment;
        const used = [...workers.values()]
            .map(worker => worker.committed)
            .reduce(addResources, NO_RESOURCES);
        const capacity = [...workers.values()].map(() => workerCapacity).reduce(addResources, NO_RESOURCES);
        this.packing.push({ used, capacity });
    }

    private reportProgress(line: string): void {
        this.onProgress(this.deployment.timer.nowMs(), line);
    }
}

import { describeError } from "@skylarkpath/common/base/describeError";
import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { KnownWorker, WorkerListSource } from "../model/OwnerRow.js";
import type { WorkerClient, WorkerEntry } from "../ports/WorkerClient.js";
import type { FleetState } from "../state/FleetState.js";
import type { RunState } from "../state/RunState.js";
import type { StepState } from "../state/StepState.js";
import { WorkerState } from "../state/WorkerState.js";
import { CrashTracker } from "./CrashTracker.js";
import { FillerThrottle, type SpeedLimitChange } from "./FillerThrottle.js";
import { findUnlisted } from "./findUnlisted.js";
import type { RunTracker } from "./RunTracker.js";
import { UnsettledWorkers } from "./UnsettledWorkers.js";
import { WorkerClock } from "./WorkerClock.js";
import { type SessionEvents, type SessionTiming, WorkerLossReason, WorkerSession } from "./WorkerSession.js";

/** Callbacks of the registry. */
export interface RegistryEvents {
    /** A worker has seen the token of a later owner. */
    readonly staleOwner: () => void;
    /** Returns whether the ownership was confirmed recently enough to send orders. */
    readonly maySendOrders: () => boolean;
    /** Returns the time within which a start on a worker of a pool must happen. */
    readonly capacityTimeLeftMs: (pool: string) => number;
    /** Requests a commit of what was reported so far. */
    readonly awaitCommit: SessionEvents["awaitCommit"];
    /** Requests a commit of the known workers, since nothing starts on a worker that no committed row names. */
    readonly workerAdded: () => void;
}

/** Delay before a lost worker is contacted again. */
const RECONNECT_DELAY_MS = 300;

/** Sessions with all workers, each with the current incarnation of the worker. */
export class WorkerRegistry implements WorkerListSource, Disposable {
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly generations = new Map<string, number>();
    private readonly fillerThrottle: FillerThrottle;
    private readonly crashes: CrashTracker;
    private readonly entries = new Map<string, WorkerEntry>();
    private readonly fenced = new Emitter<WorkerSession>();
    private readonly unsettled: UnsettledWorkers;
    /** Incarnations of workers on which all leases have ended, and which this owner has not fenced since. */
    private readonly emptied = new Map<string, number>();
    /** Workers without a session whose tasks the store may still list. */
    private readonly listedInStore = new Set<string>();
    /** Incarnations in the directory that the reports of the worker itself contradict. */
    private readonly contradicted = new Map<string, number>();
    /** Time from which on no lease of a previous owner is left that this owner does not know of. */
    private previousLeasesEndMs = 0;
    private disposed = false;

    /** A worker accepts only orders of this owner now. */
    public readonly onFenced = this.fenced.event;

    constructor(
        private readonly epoch: number,
        private readonly fleet: FleetState,
        private readonly runs: RunTracker,
        private readonly workerClient: WorkerClient,
        private readonly timer: TimerService,
        private readonly timing: SessionTiming,
        private readonly events: RegistryEvents,
        private readonly log: EventLog
    ) {
        this.fillerThrottle = new FillerThrottle(timer);
        this.crashes = new CrashTracker(fleet, runs, timer, log);
        this.unsettled = new UnsettledWorkers(fleet);
    }

    /** Every worker to which a previous owner may have given tasks is fenced, or its leases have ended. */
    public get settled(): boolean {
        return this.unsettled.settled;
    }

    /**
     * Returns whether a step may start: no unsettled worker can still run a task of it that a previous owner started.
     */
    public mayStart(step: StepState): boolean {
        return this.unsettled.mayStart(step);
    }

    /** Whether a worker that has not failed to answer is not fenced yet, so that it still accepts orders of others. */
    public get awaitsFencing(): boolean {
        return [...this.sessions.values()].some(({ state }) => !state.fenced && state.reachable);
    }

    /** Workers that may run tasks. On those whose tasks are listed nothing is started from now on. */
    public list(): readonly KnownWorker[] {
        return [...this.sessions.values()].map(({ entry, state }) => {
            const tasks = this.listTasks(state);
            state.tasksPublished ||= tasks !== undefined;
            const { id, address, incarnation, draining } = entry;
            return { id, address, incarnation, draining, tasks };
        });
    }

    /** Allows starts on the workers in the committed list, unless it names their tasks. */
    public markCommitted(workers: readonly KnownWorker[]): void {
        for (const { id, incarnation, tasks } of workers) {
            const state = this.fleet.workers.get(id);
            if (state?.entry.incarnation === incarnation) {
                state.recorded = true;
                state.tasksPublished &&= tasks !== undefined;
            }
        }
    }

    /** Returns the session with a worker; undefined when this incarnation of it is lost or replaced. */
    public session(worker: WorkerState): WorkerSession | undefined {
        const session = this.sessions.get(worker.id);
        return session?.state === worker ? session : undefined;
    }

    /** Finds out whether a run exists whose start order got no reply, in the session to which the run now belongs. */
    public resolveUncertainRun(run: RunState): void {
        if (run.worker.runs.get(run.task.name) === run) {
            this.session(run.worker)?.resolveUncertainRun(run);
        }
    }

    /** Starts sessions with the workers of the directory and those that the previous owner listed. */
    public start(
        entries: readonly WorkerEntry[],
        previousWorkers: readonly KnownWorker[],
        unknownLeaseMs: number
    ): void {
        this.previousLeasesEndMs = this.timer.nowMs() + unknownLeaseMs;
        for (const entry of entries) {
            this.entries.set(entry.id, entry);
        }
        const unlisted = findUnlisted(previousWorkers, this.entries);
        const knownById = new Map(previousWorkers.map(known => [known.id, known]));
        if (unknownLeaseMs > 0) {
            for (const { id, incarnation } of [...entries, ...unlisted]) {
                const known = knownById.get(id);
                const tasks = known?.incarnation === incarnation ? known.tasks : undefined;
                this.unsettled.add(id, tasks);
                if (tasks) {
                    this.listedInStore.add(id);
                }
            }
        }
        entries.forEach(entry => this.open(entry, this.createClock(unknownLeaseMs), true));
        unlisted.forEach(entry => this.open(entry, this.createClock(unknownLeaseMs), false));
        for (const { state } of this.sessions.values()) {
            state.recorded = knownById.get(state.id)?.incarnation === state.entry.incarnation;
        }
        for (const { id, incarnation, draining, tasks } of previousWorkers) {
            if (!draining && tasks && (this.entries.get(id)?.incarnation ?? 0) > incarnation) {
                this.crashes.recordEarlierRestart(id, incarnation, tasks);
            }
        }
        this.updateUnknownUsage();
    }

    /** Applies the current list of workers in the directory. */
    public update(entries: readonly WorkerEntry[]): void {
        const listed = new Set(entries.map(entry => entry.id));
        for (const entry of entries) {
            this.entries.set(entry.id, entry);
            const session = this.sessions.get(entry.id);
            if (!session) {
                this.open(entry, this.createClock(0), true);
                if (!this.generations.has(entry.id)) {
                    this.events.workerAdded();
                }
            }
            else if (entry.incarnation === session.entry.incarnation) {
                session.state.entry = entry;
                session.state.listed = true;
            }
            else if (
                entry.incarnation > session.entry.incarnation
                && entry.incarnation !== this.contradicted.get(entry.id)
            ) {
                // The open connections lead to the former incarnation, and may stay silent.
                this.workerClient.disconnect(session.entry);
                this.replace(session, entry);
            }
        }
        for (const [id, session] of [...this.sessions]) {
            if (!listed.has(id)) {
                this.entries.delete(id);
                session.state.listed = false;
                session.checkIfLeft();
            }
        }
        this.crashes.applyDirectory(this.entries);
    }

    public dispose(): void {
        this.disposed = true;
        for (const session of this.sessions.values()) {
            session.dispose();
        }
        this.sessions.clear();
        this.fenced.dispose();
    }

    /**
     * Replaces the session with a restarted worker, whose new incarnation may have accepted orders meant for the
     * previous one.
     */
    private replace(session: WorkerSession, entry: WorkerEntry): void {
        if (this.sessions.get(entry.id) !== session) {
            return;
        }
        this.log.write(EVENTS.workerLost, {
            worker: entry.id,
            reason: WorkerLossReason.Restarted,
            runs: session.state.runs.size
        });
        this.recordRestart(session.state);
        session.dispose();
        this.generations.set(entry.id, session.nextGeneration);
        const next = this.open(entry, session.clock.nextIncarnation(), session.state.listed);
        this.events.workerAdded();
        this.fleet.moveRuns(session.state, next.state, next.token);
        this.updateUnknownUsage();
    }

    /**
     * Replaces the session with a worker that reports another incarnation. That may be an earlier one: the entry in the
     * directory was of another writer, or the worker's time of day was set back.
     */
    private followReport(session: WorkerSession, incarnation: number): void {
        const { entry } = session;
        if (incarnation < entry.incarnation) {
            this.contradicted.set(entry.id, entry.incarnation);
        }
        const listed = this.entries.get(entry.id);
        // Marked as draining, so that nothing is started on it before the directory lists its capacity.
        const unlisted = { ...entry, incarnation, draining: true };
        this.replace(session, listed?.incarnation === incarnation ? listed : unlisted);
    }

    /** Returns the clock of a worker on which leases of a previous owner may last for the given time from now on. */
    private createClock(unknownLeaseMs: number): WorkerClock {
        const clock = new WorkerClock(this.timer, this.timing.maximumLeaseMs);
        clock.assumeLease(unknownLeaseMs);
        return clock;
    }

    private open(entry: WorkerEntry, clock: WorkerClock, listed: boolean): WorkerSession {
        const state = new WorkerState(entry, this.fleet.evacuatedDomains);
        state.listed = listed;
        state.tasksPublished = this.listedInStore.delete(entry.id);
        const session = new WorkerSession(
            state,
            clock,
            this.epoch,
            this.generations.get(entry.id) ?? 0,
            this.workerClient,
            this.timer,
            this.timing,
            {
                report: (source, report, poll) => {
                    const hadUncountedRuns = state.hasUncountedRuns;
                    this.runs.applyReport(state, report, poll, source.reportedEnd);
                    for (const change of this.fillerThrottle.adjustSpeedLimits(state)) {
                        void this.limitSpeed(source, change);
                    }
                    if (hadUncountedRuns !== state.hasUncountedRuns) {
                        this.updateUnknownUsage();
                    }
                    // Until all ends are listed, tasks that a previous owner started here may have ended as done.
                    if (!state.fenced && !report.hasMoreEnds) {
                        state.fenced = true;
                        this.emptied.delete(entry.id);
                        this.crashes.recordAnswer(state);
                        this.settle(entry.id);
                        this.log.write(EVENTS.workerFenced, { worker: entry.id, runs: state.runs.size });
                        this.fenced.fire(source);
                    }
                },
                workerLost: (source, reason) => this.handleWorkerLost(source, reason),
                workerRestarted: (source, incarnation) => this.followReport(source, incarnation),
                staleOwner: () => this.events.staleOwner(),
                capacityTimeLeftMs: worker => this.events.capacityTimeLeftMs(worker.entry.pool),
                needsFrequentPolls: worker => this.fillerThrottle.needsFrequentPolls(worker),
                maySendOrders: () => this.events.maySendOrders(),
                awaitCommit: waiter => this.events.awaitCommit(waiter),
                pollFailed: error =>
                    this.log.write(EVENTS.processFailed, { worker: entry.id, reason: describeError(error) })
            }
        );
        this.sessions.set(entry.id, session);
        this.fleet.workers.set(entry.id, state);
        session.start();
        return session;
    }

    private async limitSpeed(session: WorkerSession, { run, percent }: SpeedLimitChange): Promise<void> {
        if (!(await session.limitSpeed(run.task.name, run.run, percent))) {
            this.fillerThrottle.markUnconfirmed(run, percent);
        }
    }

    private handleWorkerLost(session: WorkerSession, reason: WorkerLossReason): void {
        const { state, entry } = session;
        if (this.sessions.get(entry.id) !== session) {
            return;
        }
        this.log.write(EVENTS.workerLost, { worker: entry.id, reason, runs: state.runs.size });
        session.dispose();
        if (state.tasksPublished) {
            this.listedInStore.add(entry.id);
        }
        this.sessions.delete(entry.id);
        this.fleet.workers.delete(entry.id);
        this.generations.set(entry.id, session.nextGeneration);
        this.workerClient.disconnect(entry);
        if (reason === WorkerLossReason.Restarted) {
            this.recordRestart(state);
        }
        else if (reason === WorkerLossReason.LeaseEnded) {
            this.crashes.recordSilence(state);
            this.crashes.applyDirectory(this.entries);
            if (session.mayRunOnLaterIncarnation) {
                this.awaitUnseenIncarnation(session);
                return;
            }
            this.recordEmptied(entry);
        }
        this.runs.closeAllRuns(state);
        this.settle(entry.id);
        this.timer.after(RECONNECT_DELAY_MS, () => this.reconnect(entry.id));
    }

    /**
     * Closes the runs of a lost worker that it has reported. The others may be on an incarnation that has not been seen;
     * they stay open until it reports or its leases end.
     */
    private awaitUnseenIncarnation({ state, entry, clock }: WorkerSession): void {
        this.runs.closeReportedRuns(state);
        const next = this.open(entry, clock.unseenIncarnation(), state.listed);
        this.fleet.moveRuns(state, next.state, next.token);
        this.updateUnknownUsage();
    }

    /** Records that nothing runs on a worker, once a previous owner can't have started anything there any more. */
    private recordEmptied({ id, incarnation }: WorkerEntry): void {
        if (this.timer.nowMs() >= this.previousLeasesEndMs) {
            this.emptied.set(id, incarnation);
        }
    }

    /** Counts the restart of a worker under its runs and under those that a previous owner may have left there. */
    private recordRestart(state: WorkerState): void {
        this.crashes.recordRestart(state);
        const tasks = this.unsettled.tasksOn(state.id);
        if (tasks && !state.entry.draining) {
            this.crashes.recordEarlierRestart(state.id, state.entry.incarnation, tasks);
        }
    }

    /** Marks a worker as settled: tasks that a previous owner may have left there are known or have ended. */
    private settle(id: string): void {
        if (this.unsettled.settle(id) && this.settled) {
            this.runs.stopPartialGangs();
        }
        this.updateUnknownUsage();
    }

    private reconnect(id: string): void {
        const entry = this.entries.get(id);
        if (entry && !this.sessions.has(id) && !this.disposed) {
            this.open(entry, this.createClock(0), true);
        }
    }

    /**
     * Returns the tasks that may run on a worker that gets no new ones, and those of which it has reported an end that is
     * not committed; undefined if they are not known or it may get others.
     */
    private listTasks(state: WorkerState): readonly string[] | undefined {
        if (!state.fenced) {
            return this.emptied.get(state.id) === state.entry.incarnation ? [] : this.unsettled.tasksOn(state.id);
        }
        const getsNoTasks = state.entry.draining || !state.reachable;
        return getsNoTasks && !state.hasUncountedRuns
            ? [...new Set([...state.runs.keys(), ...state.uncommittedEnds.values()])]
            : undefined;
    }

    /** Charges every team the tasks that the fleet state does not count as runs yet. */
    private updateUnknownUsage(): void {
        Object.assign(this.fleet.unknown, this.unsettled.sumUsage(this.fleet.workers.values()));
    }
}

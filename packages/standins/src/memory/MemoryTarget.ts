import { Emitter } from "@skylarkpath/common/base/Emitter";
import {
    type AttemptReport,
    AttemptState,
    type TargetAnswer,
    type TargetError,
    TargetErrorKind,
    type TargetInventory,
    type TargetRequest
} from "@skylarkpath/common/platform/TargetService";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";

/** How a target serves one request. */
export interface ServingBehavior {
    readonly durationMs: number;
    readonly fails: boolean;
    readonly answer: string;
}

/** Start or end of an attempt at a target, from which tests record a history. */
export interface AttemptEvent {
    readonly targetId: string;
    readonly request: TargetRequest;
    readonly state: AttemptState;
    readonly atMs: number;
}

/** Options of a target in memory. */
export interface MemoryTargetOptions {
    readonly targetId: string;
    readonly slots: number;
    /** Returns how a request is served. */
    readonly behaviorOf: (request: TargetRequest) => ServingBehavior;
}

/** Target (executor) in memory: serves as many requests at once as it has slots. */
export class MemoryTarget {
    private readonly attempts = new Map<string, AttemptReport>();
    private readonly running = new Set<string>();
    private readonly attemptEmitter = new Emitter<AttemptEvent>();
    private leaving = false;

    /** Fires at the start and end of each attempt. */
    public readonly onAttempt = this.attemptEmitter.event;

    constructor(private readonly timer: TimerService, private readonly options: MemoryTargetOptions) {}

    /** Marks the target as leaving; it refuses new requests. */
    public leave(): void {
        this.leaving = true;
    }

    /** Serves a request if a slot is free and its attempt is new; refuses it otherwise or when leaving. */
    public async dispatch(request: TargetRequest): Promise<Result<TargetAnswer, TargetError>> {
        if (this.leaving || this.running.size >= this.options.slots) {
            const message = this.leaving ? "The target is leaving." : "All slots are in use.";
            return err({ kind: TargetErrorKind.Refused, message, leaving: this.leaving });
        }
        if (this.attempts.has(request.attemptId)) {
            return err({ kind: TargetErrorKind.Refused, message: "The attempt is known already." });
        }
        const behavior = this.options.behaviorOf(request);
        this.running.add(request.attemptId);
        this.record(request, AttemptState.Running);
        await sleep(this.timer, behavior.durationMs);
        this.running.delete(request.attemptId);
        if (behavior.fails) {
            this.record(request, AttemptState.Failed);
            return err({ kind: TargetErrorKind.Failed, message: "The target reports a failure." });
        }
        this.record(request, AttemptState.Done, behavior.answer);
        return ok({
            attemptId: request.attemptId,
            answer: behavior.answer,
            answerLength: behavior.answer.length
        });
    }

    /** Returns the state of an attempt, `NeverSeen` for an unknown one. */
    public attempt(attemptId: string): AttemptReport {
        return this.attempts.get(attemptId) ?? { attemptId, state: AttemptState.NeverSeen };
    }

    /** Returns the number of slots and the running attempts. */
    public inventory(): TargetInventory {
        const running = [...this.running].map(attemptId => this.attempt(attemptId));
        return { slots: this.options.slots, leaving: this.leaving, running };
    }

    private record(request: TargetRequest, state: AttemptState, answer?: string): void {
        this.attempts.set(request.attemptId, { attemptId: request.attemptId, state, team: request.team, answer });
        this.attemptEmitter.fire({ targetId: this.options.targetId, request, state, atMs: this.timer.nowMs() });
    }
}

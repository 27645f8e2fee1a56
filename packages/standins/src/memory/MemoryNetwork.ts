import {
    type PeerError,
    PeerErrorKind,
    type PeerHandler,
    type PeerMethodRegistry,
    type PeerTransport
} from "@skylarkpath/common/peer/PeerTransport";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import {
    type AttemptReport,
    type TargetAnswer,
    type TargetError,
    TargetErrorKind,
    type TargetInventory,
    type TargetRequest,
    type TargetService
} from "@skylarkpath/common/platform/TargetService";
import type {
    WorkerError,
    WorkerExchange,
    WorkerReply,
    WorkerService
} from "@skylarkpath/common/platform/WorkerService";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";
import type { MemoryTarget } from "./MemoryTarget.js";
import type { MemoryWorker } from "./MemoryWorker.js";

/** State of the link from one address to another. */
export interface Link {
    readonly cut: boolean;
    readonly delayMs: number;
    /** If true, the sender of a call over the cut link gets no reply; if not, it gets the error that the call was not sent. */
    readonly silent?: boolean;
}

/** Returns the state of a link at the time a request or reply is sent over it. */
export type LinkPlan = (from: string, to: string) => Link;

/** Outcome of a call: not sent, sent without a reply, or answered with a value. */
interface Delivery<T> {
    readonly sent: boolean;
    readonly value?: T;
}

/** Network in memory: delivers calls between addresses; the link in each direction can be cut on its own. */
export class MemoryNetwork {
    private readonly peers = new Map<string, Map<string, PeerHandler>>();
    private readonly workers = new Map<string, MemoryWorker>();
    private readonly targets = new Map<string, MemoryTarget>();
    private linkPlan: LinkPlan = () => ({ cut: false, delayMs: 0 });

    constructor(private readonly timer: TimerService) {}

    /** Sets the plan for requests and replies that are sent later. */
    public setLinkPlan(plan: LinkPlan): void {
        this.linkPlan = plan;
    }

    /** Attaches a process and returns the registry for the methods that it offers to its peers. */
    public attachPeer(address: string): PeerMethodRegistry {
        const methods = new Map<string, PeerHandler>();
        this.peers.set(address, methods);
        return { register: (method, handler) => methods.set(method, handler) };
    }

    /** Attaches a worker at an address. */
    public attachWorker(address: string, worker: MemoryWorker): void {
        this.workers.set(address, worker);
    }

    /** Attaches a target at an address. */
    public attachTarget(address: string, target: MemoryTarget): void {
        this.targets.set(address, target);
    }

    /** Detaches the process, worker or target at an address, as when its VM fails. */
    public detach(address: string): void {
        this.peers.delete(address);
        this.workers.delete(address);
        this.targets.delete(address);
    }

    /** Transport of the process at an address. */
    public peerTransportOf(from: string): PeerTransport {
        return { call: (to, method, parameters, timeoutMs) => this.callPeer(from, to, method, parameters, timeoutMs) };
    }

    /** Worker client of the process at an address. */
    public workerServiceOf(from: string): WorkerService {
        return { exchange: (to, exchange) => this.exchange(from, to, exchange) };
    }

    /** Target client of the process at an address. */
    public targetServiceOf(from: string): TargetService {
        return {
            dispatch: (to, request) => this.dispatch(from, to, request),
            attempt: (to, attemptId) => this.query<AttemptReport>(from, to, target => target.attempt(attemptId)),
            inventory: to => this.query<TargetInventory>(from, to, target => target.inventory())
        };
    }

    private async callPeer(
        from: string,
        to: string,
        method: string,
        parameters: JsonValue,
        timeoutMs: number
    ): Promise<Result<JsonValue, PeerError>> {
        const handler = this.peers.get(to)?.get(method);
        const copy: JsonValue = JSON.parse(JSON.stringify(parameters));
        const call = this.deliver(from, to, handler, registered => registered(copy, from));
        const delivered = await this.withTimeout(timeoutMs, call);
        if (!delivered.sent) {
            return err({ kind: PeerErrorKind.Unreachable, message: `${to} cannot be reached.` });
        }
        if (delivered.value === undefined) {
            return err({ kind: PeerErrorKind.ReplyLost, message: `${to} did not reply.` });
        }
        return delivered.value
            .map(value => JSON.parse(JSON.stringify(value)) as JsonValue)
            .mapErr(message => ({ kind: PeerErrorKind.Refused, message }));
    }

    private async exchange(
        from: string,
        to: string,
        exchange: WorkerExchange
    ): Promise<Result<WorkerReply, WorkerError>> {
        const copy: WorkerExchange = JSON.parse(JSON.stringify(exchange));
        const delivered = await this.deliver(from, to, this.workers.get(to), async worker => worker.exchange(copy));
        return delivered.value
            ?? err({ replyLost: delivered.sent, message: `No reply of worker ${to}.` });
    }

    private async dispatch(
        from: string,
        to: string,
        request: TargetRequest
    ): Promise<Result<TargetAnswer, TargetError>> {
        const call = this.deliver(from, to, this.targets.get(to), target => target.dispatch(request));
        const delivered = await this.withTimeout(request.timeoutMs, call);
        return delivered.value ?? err(deliveryError(to, delivered.sent));
    }

    private async query<T>(
        from: string,
        to: string,
        query: (target: MemoryTarget) => T
    ): Promise<Result<T, TargetError>> {
        const delivered = await this.deliver(from, to, this.targets.get(to), async target => query(target));
        return delivered.value === undefined ? err(deliveryError(to, delivered.sent)) : ok(delivered.value);
    }

    /** Waits for a call; when the timeout ends first, the reply counts as lost. */
    private withTimeout<T>(timeoutMs: number, call: Promise<Delivery<T>>): Promise<Delivery<T>> {
        return new Promise(resolve => {
            const expiry = this.timer.after(timeoutMs, () => resolve({ sent: true }));
            void call.then(delivered => {
                expiry.dispose();
                resolve(delivered);
            });
        });
    }

    private async deliver<S, T>(
        from: string,
        to: string,
        receiver: S | undefined,
        call: (station: S) => Promise<T>
    ): Promise<Delivery<T>> {
        const requestLink = this.linkPlan(from, to);
        await sleep(this.timer, requestLink.delayMs);
        if (requestLink.cut || receiver === undefined) {
            return { sent: requestLink.cut && (requestLink.silent ?? false) };
        }
        const value = await call(receiver);
        const replyLink = this.linkPlan(to, from);
        await sleep(this.timer, replyLink.delayMs);
        return replyLink.cut ? { sent: true } : { sent: true, value };
    }
}

function deliveryError(address: string, sent: boolean): TargetError {
    return sent
        ? { kind: TargetErrorKind.ReplyLost, message: `Target ${address} did not reply.` }
        : { kind: TargetErrorKind.Unreachable, message: `Target ${address} cannot be reached.` };
}

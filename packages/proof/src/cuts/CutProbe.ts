import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { GrantedKey } from "@skylarkpath/control/keys/KeyController";
import { FaultyDeployment } from "../members/FaultyDeployment.js";
import { MEMBERSHIP_CONFIG_TEXT } from "../members/MembershipConfigText.js";
import { KALLIO_TOPOLOGY } from "../Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS } from "../VirtualDeployment.js";
import type { CutCase } from "./CutCases.js";

/** Kinds of requests that are sent during a cut. */
export const REQUEST_KINDS = [
    "look-up",
    "open look-up",
    "order",
    "batch job",
    "running batch job",
    "text",
    "grant",
    "withdrawal"
] as const;

/** Result of each kind of request: its outcome, or the reason of its refusal. */
export type ProbeResults = Readonly<Record<typeof REQUEST_KINDS[number], string>>;

const EXTRA_QUEUES = `
[queues.open-lookup]
kind = "lookup"
open = true
team = "dispatch"
idempotent = true
default_deadline = "800ms"
[queues.battery-order]
kind = "lookup"
idempotent = false
default_deadline = "3s"
`;
const CONFIG_TEXT = MEMBERSHIP_CONFIG_TEXT + EXTRA_QUEUES;
const SETTLE_MS = 15_000;
const KILL_OWNER_AFTER_MS = 5000;
const LONG_PAYLOAD = "long";
const LONG_TASK_MS = 600_000;
const SHORT_TASK_MS = 500;
const TOPOLOGY = {
    ...KALLIO_TOPOLOGY,
    domains: KALLIO_TOPOLOGY.domains.map(domain => ({ ...domain, entries: 2, workers: 2, targets: 2 }))
};

/** Sends each kind of request to one entry during a cut. */
export class CutProbe {
    private readonly faulty: FaultyDeployment;
    private granted: GrantedKey | undefined;

    constructor(private readonly cut: CutCase, private readonly killsOwner: boolean, seed: number) {
        this.faulty = new FaultyDeployment(TOPOLOGY, seed, {}, {
            ...DEFAULT_DEPLOYMENT_OPTIONS,
            taskBehaviorOf: task => ({
                durationMs: task.payload === LONG_PAYLOAD ? LONG_TASK_MS : SHORT_TASK_MS,
                fails: false,
                answer: task.taskId
            })
        });
    }

    /** Applies the cut, sends the requests and returns their results. */
    public async run(): Promise<ProbeResults> {
        const { timer } = this.faulty.deployment;
        await timer.advance(2000);
        const first = this.faulty.deployment.process("vantaa-entry-0").process;
        (await timer.advanceUntil(first.config.apply(CONFIG_TEXT, 0)))._unsafeUnwrap();
        this.granted = (await timer.advanceUntil(first.keys.grant("dispatch")))._unsafeUnwrap();
        await timer.advance(8000);
        const running = await this.submit("diagnostics", LONG_PAYLOAD, 1);
        await timer.advance(2000);
        this.cut.apply(this.faulty);
        await timer.advance(KILL_OWNER_AFTER_MS);
        if (this.killsOwner) {
            this.faulty.deployment.kill(this.owner());
        }
        await timer.advance(SETTLE_MS);
        return {
            "look-up": await this.outcome("part-lookup"),
            "open look-up": await this.outcome("open-lookup"),
            "order": await this.outcome("battery-order"),
            "batch job": await this.outcome("diagnostics", 1),
            "running batch job": await this.taskStateOf(running),
            "text": await this.applyConfigText(),
            "grant": await this.grant(),
            "withdrawal": await this.withdraw()
        };
    }

    private get entry(): ReturnType<FaultyDeployment["processesOf"]>[number] {
        return this.faulty.processesOf(this.cut.probedDomain).at(-1)!;
    }

    private owner(): string {
        const owner = this.faulty.processesOf(this.cut.probedDomain).find(running =>
            running.process.ownedSlices.length > 0
        );
        return owner!.machine.machineId;
    }

    private async submit(queue: string, payload: string, count = 0): Promise<string | undefined> {
        return (await this.sendRequest(queue, payload, count)).requestId;
    }

    private async sendRequest(
        queue: string,
        payload: string,
        count: number
    ): ReturnType<FaultyDeployment["deployment"]["processes"][number]["process"]["requests"]["submit"]> {
        const tasks = { count, processorMillicores: 1000, memoryBytes: 1024 };
        const key = queue === "open-lookup" ? undefined : this.granted!.key;
        const rawBody = { queue, payload, ...(count > 0 ? { tasks } : {}) };
        return this.faulty.deployment.timer.advanceUntil(this.entry.process.requests.submit({ rawBody, key }));
    }

    private async outcome(queue: string, count = 0): Promise<string> {
        const { outcome } = await this.sendRequest(queue, "probe", count);
        return outcome.state === OutcomeState.NotRun ? outcome.reason! : outcome.state;
    }

    /** Whether the task of a request still runs, by the inventory of all workers. */
    private async taskStateOf(requestId: string | undefined): Promise<string> {
        const tasks = [...this.faulty.deployment.workers.values()].flatMap(worker => worker.inventory);
        return tasks.some(task => task.requestId === requestId) ? "running" : "stopped";
    }

    private async applyConfigText(): Promise<string> {
        const { config } = this.entry.process;
        const applied = await this.faulty.deployment.timer.advanceUntil(
            config.apply(`${CONFIG_TEXT}\n`, config.version)
        );
        return applied.isOk() ? "served" : applied.error.kind;
    }

    private async grant(): Promise<string> {
        const granted = await this.faulty.deployment.timer.advanceUntil(this.entry.process.keys.grant("dispatch"));
        return granted.isOk() ? "served" : granted.error.kind;
    }

    private async withdraw(): Promise<string> {
        const withdrawing = this.entry.process.keys.withdraw(this.granted!.keyId);
        const withdrawal = await this.faulty.deployment.timer.advanceUntil(withdrawing);
        const complete = withdrawal._unsafeUnwrap()?.complete;
        return complete ? "complete" : "missing named";
    }
}

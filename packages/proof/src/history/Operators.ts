import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import type { VirtualDeployment } from "../VirtualDeployment.js";
import type { History } from "./History.js";
import { HistoryEventKind, type LimitInText } from "./HistoryEvent.js";

/** Key as its operator holds it. */
export interface HeldKey {
    readonly keyId: string;
    readonly team: string;
    readonly key: string;
}

/** Operators of a deployment: edit the text, grant and withdraw keys, and record what was confirmed to them. */
export class Operators {
    constructor(private readonly history: History, private readonly deployment: VirtualDeployment) {}

    /** Applies a text through a process; returns the version that is in force or won. */
    public async apply(processId: string, text: string, baseVersion: number): Promise<number | undefined> {
        const { gate, process } = this.deployment.process(processId);
        await gate.deliver(Promise.resolve());
        const applied = await gate.deliver(process.config.apply(text, baseVersion));
        if (applied.isErr()) {
            return applied.error.winningVersion;
        }
        const version = applied.value;
        this.history.record({ kind: HistoryEventKind.ConfigApplied, version, text, limits: limitsOf(text) });
        return version;
    }

    /** Grants a key to a team; undefined when the store did not take it. */
    public async grant(processId: string, team: string): Promise<HeldKey | undefined> {
        const { gate, process } = this.deployment.process(processId);
        await gate.deliver(Promise.resolve());
        const granted = await gate.deliver(process.keys.grant(team));
        if (granted.isErr()) {
            return undefined;
        }
        this.history.record({ kind: HistoryEventKind.KeyGranted, ...granted.value });
        return granted.value;
    }

    /** Withdraws a key; records the withdrawal only when it is said to be complete. */
    public async withdraw(processId: string, keyId: string): Promise<void> {
        const { gate, process } = this.deployment.process(processId);
        await gate.deliver(Promise.resolve());
        const withdrawn = await gate.deliver(process.keys.withdraw(keyId));
        if (withdrawn.isOk() && withdrawn.value?.complete) {
            this.history.record({ kind: HistoryEventKind.KeyWithdrawn, keyId });
        }
    }
}

function limitsOf(text: string): readonly LimitInText[] {
    const parsed = parseClusterConfig(text);
    return parsed.isErr() ? [] : parsed.value.teams.map(({ name, limit }) => ({ team: name, ...limit }));
}

import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import type { VirtualDeployment } from "../VirtualDeployment.js";
import type { History } from "./History.js";
import { type ConfiguredTeamLimit, HistoryEventKind } from "./HistoryEvent.js";

/** Granted key with its secret, as returned to the operator. */
export interface GrantedKey {
    readonly keyId: string;
    readonly team: string;
    readonly key: string;
}

/**
 * Simulates the operators of a deployment: applies configurations, grants and withdraws keys, and records the
 * operations that were confirmed.
 */
export class Operators {
    constructor(private readonly history: History, private readonly deployment: VirtualDeployment) {}

    /**
     * Applies a configuration through a process. Returns the new version or, after a conflict, the version that won;
     * undefined after other errors.
     */
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

    /** Grants a key to a team; returns undefined when it could not be written to the store. */
    public async grant(processId: string, team: string): Promise<GrantedKey | undefined> {
        const { gate, process } = this.deployment.process(processId);
        await gate.deliver(Promise.resolve());
        const granted = await gate.deliver(process.keys.grant(team));
        if (granted.isErr()) {
            return undefined;
        }
        this.history.record({ kind: HistoryEventKind.KeyGranted, ...granted.value });
        return granted.value;
    }

    /** Withdraws a key; records the withdrawal only when the process reports it as complete. */
    public async withdraw(processId: string, keyId: string): Promise<void> {
        const { gate, process } = this.deployment.process(processId);
        await gate.deliver(Promise.resolve());
        const withdrawn = await gate.deliver(process.keys.withdraw(keyId));
        if (withdrawn.isOk() && withdrawn.value?.complete) {
            this.history.record({ kind: HistoryEventKind.KeyWithdrawn, keyId });
        }
    }
}

function limitsOf(text: string): readonly ConfiguredTeamLimit[] {
    const parsed = parseClusterConfig(text);
    return parsed.isErr() ? [] : parsed.value.teams.map(({ name, limit }) => ({ team: name, ...limit }));
}

import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { Finding } from "@skylarkpath/common/base/Finding";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { ClusterConfig, VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import { type LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import { err, ok, type Result } from "neverthrow";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import {
    type ConfigUpdate,
    configUpdateSchema,
    type Heartbeat,
    PeerMethod,
    readConfigSchema
} from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import { type GroupCommitWriter, WriteErrorKind } from "../store/GroupCommitWriter.js";
import { ConfigTable } from "./ConfigTable.js";
import { applyDelta, computeDelta } from "./TextDelta.js";

/** Active configuration, as text and in parsed form. */
export interface ActiveConfig extends VersionedConfigText {
    readonly parsed: ClusterConfig;
}

/** Why a configuration was not applied. */
export enum ConfigErrorKind {
    Findings = "findings",
    Conflict = "conflict",
    StoreUnavailable = "store-unavailable"
}

/** Failure to apply a configuration. */
export interface ConfigError {
    readonly kind: ConfigErrorKind;
    readonly findings?: readonly Finding[];
    readonly winningVersion?: number;
}

/** Number of recent versions whose texts are retained as bases of deltas. */
const RETAINED_VERSIONS = 8;
/** Number of polls between reads of the store, in processes that are not the relay of their failure domain. */
const POLLS_BETWEEN_FALLBACK_READS = 10;

/** Distributes the cluster configuration and provides the active one, whose version only increases. */
export class ConfigController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<ActiveConfig>());
    private readonly table: ConfigTable;
    /** Texts of recent configurations by version, the bases of deltas. */
    private readonly texts = new Map<number, string>();
    private active: ActiveConfig | undefined;
    private latestInvalidVersion = 0;
    private pollsUntilRead = 0;
    private fetchingFromPeer = false;

    /** Fires when a configuration becomes active. */
    public readonly onChange = this.changeEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        writer: GroupCommitWriter,
        private readonly membership: MembershipController
    ) {
        this.table = new ConfigTable(environment.table, writer);
        this.store.add(membership.onHeartbeat(heartbeat => this.fetchIfBehind(heartbeat)));
        peerClient.serve(
            PeerMethod.ReadConfig,
            readConfigSchema,
            async request => ok(this.updateSince(request.baseVersion))
        );
        peerClient.serve(
            PeerMethod.PushConfig,
            configUpdateSchema,
            async (update, from) => this.receivePush(update, from)
        );
    }

    /** Active configuration; undefined before the first one. */
    public get current(): ActiveConfig | undefined {
        return this.active;
    }

    /** Version of the active configuration; zero before the first one. */
    public get version(): number {
        return this.active?.version ?? 0;
    }

    /** Starts to poll the store and the other processes. */
    public start(): void {
        this.pollsUntilRead = Math.floor(this.environment.random.next() * POLLS_BETWEEN_FALLBACK_READS);
        this.store.add(this.environment.timer.every(this.options.configIntervalMs, () => this.poll()));
        void this.readStore();
    }

    /** Validates a text and commits it as the version after `baseVersion`, unless another version is stored by then. */
    public async apply(text: string, baseVersion: number): Promise<Result<number, ConfigError>> {
        const parsed = parseClusterConfig(text);
        if (parsed.isErr()) {
            return err({ kind: ConfigErrorKind.Findings, findings: parsed.error });
        }
        const stored = await this.table.read();
        if (stored.isErr()) {
            return err({ kind: ConfigErrorKind.StoreUnavailable });
        }
        if (stored.value.version !== baseVersion) {
            return this.conflict(stored.value.version);
        }
        return this.commit({ version: baseVersion + 1, text }, stored.value.rowVersion);
    }

    public dispose(): void {
        this.store.dispose();
    }

    private async commit(next: VersionedConfigText, rowVersion: number): Promise<Result<number, ConfigError>> {
        const written = await this.table.write(next, rowVersion);
        if (written.isOk()) {
            this.environment.log.write(EVENTS.configApplied, { version: next.version });
            this.adopt(next);
            void this.pushToAll(this.membership.updateRecipients);
            return ok(next.version);
        }
        if (written.error.kind !== WriteErrorKind.Conflict) {
            return err({ kind: ConfigErrorKind.StoreUnavailable });
        }
        const stored = await this.table.readVersion();
        return this.conflict(stored.isOk() ? stored.value.version : next.version);
    }

    private conflict(winningVersion: number): Result<number, ConfigError> {
        this.environment.log.write(EVENTS.configConflict, { winningVersion });
        return err({ kind: ConfigErrorKind.Conflict, winningVersion });
    }

    /** The domain relay reads the store at each poll, the other processes only occasionally, as a fallback. */
    private poll(): void {
        this.pollsUntilRead--;
        if (this.membership.isDomainRelay || this.pollsUntilRead < 0) {
            this.pollsUntilRead = POLLS_BETWEEN_FALLBACK_READS;
            void this.readStore();
        }
        this.fetchFromNearest();
    }

    private async readStore(): Promise<void> {
        const stored = await this.table.readAbove(Math.max(this.version, this.latestInvalidVersion));
        if (stored.isOk() && stored.value && this.adopt(stored.value)) {
            void this.pushToAll(this.domainPeers);
        }
    }

    private get domainPeers(): readonly LiveMachine[] {
        const { failureDomain } = this.environment.identity;
        return this.membership.updateRecipients.filter(machine => machine.failureDomain === failureDomain);
    }

    /**
     * Pushes the active configuration as a delta, and in full to a process that cannot apply the delta. From the
     * process that committed it, a configuration crosses each link between regions or failure domains once.
     */
    private async pushToAll(recipients: readonly LiveMachine[]): Promise<void> {
        const update = this.updateSince(this.version - 1);
        await Promise.all(recipients.map(async machine => {
            const pushed = await this.push(machine.address, update);
            if (!pushed && update.delta) {
                await this.push(machine.address, this.updateSince(0));
            }
        }));
    }

    private async push(address: string, update: ConfigUpdate): Promise<boolean> {
        const { peerTimeoutMs } = this.options;
        const reply = await this.peerClient.call(address, PeerMethod.PushConfig, update, peerTimeoutMs);
        return reply.isOk();
    }

    private receivePush(update: ConfigUpdate, from: string): Result<object, string> {
        if (update.version <= this.version) {
            return ok({});
        }
        if (!this.applyUpdate(update)) {
            return err("The base of the text is not known here.");
        }
        const { failureDomain, region } = this.environment.identity;
        const sender = this.membership.peer(from)?.heartbeat;
        if (sender && sender.failureDomain !== failureDomain) {
            const isRemote = sender.region !== region;
            const recipients = this.membership.updateRecipients.filter(machine =>
                isRemote ? machine.region === region : machine.failureDomain === failureDomain
            );
            void this.pushToAll(recipients);
        }
        return ok({});
    }

    private updateSince(baseVersion: number): ConfigUpdate {
        const text = this.active?.text ?? "";
        const base = this.texts.get(baseVersion);
        return base !== undefined && baseVersion < this.version
            ? { version: this.version, baseVersion, delta: computeDelta(base, text) }
            : { version: this.version, text };
    }

    private applyUpdate(update: ConfigUpdate): boolean {
        const base = update.baseVersion === undefined ? undefined : this.texts.get(update.baseVersion);
        const text = update.text ?? (update.delta && base !== undefined ? applyDelta(base, update.delta) : undefined);
        return text !== undefined && this.adopt({ version: update.version, text });
    }

    private fetchIfBehind(heartbeat: Heartbeat): void {
        const isSameDomain = heartbeat.failureDomain === this.environment.identity.failureDomain;
        if (heartbeat.configVersion > this.version && (isSameDomain || this.membership.isDomainRelay)) {
            void this.fetchFromPeer(heartbeat.address);
        }
    }

    /** Reads from the nearest process with a higher version, in case no push has arrived. */
    private fetchFromNearest(): void {
        const { failureDomain, region } = this.environment.identity;
        const distance = (heartbeat: Heartbeat): number =>
            heartbeat.failureDomain === failureDomain ? 0 : heartbeat.region === region ? 1 : 2;
        const ahead = this.membership.peers
            .filter(peer => peer.state === PeerState.Alive && peer.heartbeat.configVersion > this.version)
            .map(peer => peer.heartbeat)
            .sort((left, right) => distance(left) - distance(right));
        if (ahead[0]) {
            void this.fetchFromPeer(ahead[0].address);
        }
    }

    private async fetchFromPeer(address: string): Promise<void> {
        if (this.fetchingFromPeer) {
            return;
        }
        this.fetchingFromPeer = true;
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.ReadConfig,
            { baseVersion: this.version },
            this.options.peerTimeoutMs
        );
        this.fetchingFromPeer = false;
        const update = reply.isOk() ? configUpdateSchema.safeParse(reply.value) : undefined;
        if (update?.success) {
            this.applyUpdate(update.data);
        }
    }

    private adopt(next: VersionedConfigText): boolean {
        if (next.version <= this.version) {
            return false;
        }
        const parsed = parseClusterConfig(next.text);
        if (parsed.isErr()) {
            this.recordInvalid(next.version);
            return false;
        }
        this.active = { version: next.version, text: next.text, parsed: parsed.value };
        this.texts.set(next.version, next.text);
        this.texts.delete(next.version - RETAINED_VERSIONS);
        this.environment.log.write(EVENTS.configAdopted, { version: next.version });
        this.changeEmitter.fire(this.active);
        return true;
    }

    private recordInvalid(version: number): void {
        if (version > this.latestInvalidVersion) {
            this.latestInvalidVersion = version;
            this.environment.log.write(EVENTS.configInvalid, { version });
        }
    }
}

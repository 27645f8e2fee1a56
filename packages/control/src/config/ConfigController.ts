import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { Finding } from "@skylarkpath/common/base/Finding";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { OperatorsText, VersionedText } from "@skylarkpath/common/model/OperatorsText";
import { CONFIG_ROW_KEY, TableName, type TableRow } from "@skylarkpath/common/platform/TableService";
import { parseOperatorsText } from "@skylarkpath/text/OperatorsTextParser";
import { err, ok, type Result } from "neverthrow";
import type { MembershipController } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { emptySchema, type Heartbeat, PeerMethod, versionedTextSchema } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import { type GroupCommitWriter, WriteErrorKind } from "../store/GroupCommitWriter.js";

/** Text in force with its parsed form. */
export interface ConfigInForce extends VersionedText {
    readonly parsed: OperatorsText;
}

/** Why an operators' text was not applied. */
export enum ConfigErrorKind {
    Findings = "findings",
    Conflict = "conflict",
    StoreUnavailable = "store-unavailable"
}

/** Failure to apply an operators' text. */
export interface ConfigError {
    readonly kind: ConfigErrorKind;
    readonly findings?: readonly Finding[];
    readonly winningVersion?: number;
}

/** Keeps the operators' text in force; its version only rises. */
export class ConfigController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<ConfigInForce>());
    private inForce: ConfigInForce | undefined;

    /** Tells each text that comes into force. */
    public readonly onChange = this.changeEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        private readonly writer: GroupCommitWriter,
        membership: MembershipController
    ) {
        this.store.add(membership.onHeartbeat(heartbeat => this.follow(heartbeat)));
        peerClient.serve(PeerMethod.ReadConfig, emptySchema, async () => ok(this.versioned));
    }

    /** Text in force, or undefined before the first one. */
    public get current(): ConfigInForce | undefined {
        return this.inForce;
    }

    /** Version in force; zero before the first one. */
    public get version(): number {
        return this.inForce?.version ?? 0;
    }

    /** Begins to read the store. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.configIntervalMs, () => void this.readStore()));
        void this.readStore();
    }

    /** Checks a text and commits it as the successor of the base version. */
    public async apply(text: string, baseVersion: number): Promise<Result<number, ConfigError>> {
        const parsed = parseOperatorsText(text);
        if (parsed.isErr()) {
            return err({ kind: ConfigErrorKind.Findings, findings: parsed.error });
        }
        const row = await this.environment.table.read(TableName.Config, CONFIG_ROW_KEY);
        if (row.isErr()) {
            return err({ kind: ConfigErrorKind.StoreUnavailable });
        }
        const stored = storedText(row.value);
        if (stored.version !== baseVersion) {
            return this.conflict(stored.version);
        }
        return this.commit({ version: baseVersion + 1, text }, row.value?.version ?? 0);
    }

    public dispose(): void {
        this.store.dispose();
    }

    private get versioned(): VersionedText {
        return { version: this.version, text: this.inForce?.text ?? "" };
    }

    private async commit(next: VersionedText, rowVersion: number): Promise<Result<number, ConfigError>> {
        const written = await this.writer.submit({
            conditions: () => [{ table: TableName.Config, key: CONFIG_ROW_KEY, version: rowVersion }],
            mutations: () => [{ table: TableName.Config, key: CONFIG_ROW_KEY, value: { ...next } }]
        });
        if (written.isOk()) {
            this.environment.log.write(EVENTS.configApplied, { version: next.version });
            this.adopt(next);
            return ok(next.version);
        }
        if (written.error.kind !== WriteErrorKind.Conflict) {
            return err({ kind: ConfigErrorKind.StoreUnavailable });
        }
        const row = await this.environment.table.read(TableName.Config, CONFIG_ROW_KEY);
        return this.conflict(row.isOk() ? storedText(row.value).version : next.version);
    }

    private conflict(winningVersion: number): Result<number, ConfigError> {
        this.environment.log.write(EVENTS.configConflict, { winningVersion });
        return err({ kind: ConfigErrorKind.Conflict, winningVersion });
    }

    private async readStore(): Promise<void> {
        const row = await this.environment.table.read(TableName.Config, CONFIG_ROW_KEY);
        if (row.isOk() && row.value) {
            this.adopt(storedText(row.value));
        }
    }

    private follow(heartbeat: Heartbeat): void {
        if (heartbeat.configVersion > this.version) {
            void this.readPeer(heartbeat.address);
        }
    }

    private async readPeer(address: string): Promise<void> {
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.ReadConfig,
            {},
            this.options.peerTimeoutMs
        );
        const text = reply.isOk() ? versionedTextSchema.safeParse(reply.value) : undefined;
        if (text?.success) {
            this.adopt(text.data);
        }
    }

    private adopt(next: VersionedText): void {
        if (next.version <= this.version) {
            return;
        }
        const parsed = parseOperatorsText(next.text);
        if (parsed.isErr()) {
            this.environment.log.write(EVENTS.configInvalid, { version: next.version });
            return;
        }
        this.inForce = { ...next, parsed: parsed.value };
        this.environment.log.write(EVENTS.configAdopted, { version: next.version });
        this.changeEmitter.fire(this.inForce);
    }
}

function storedText(row: TableRow | undefined): VersionedText {
    return row ? row.value as unknown as VersionedText : { version: 0, text: "" };
}

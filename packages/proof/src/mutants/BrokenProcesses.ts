import type { VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import type { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import { ok } from "neverthrow";

interface WithdrawingKeys {
    readonly ledger: { isWithdrawn: (keyId: string) => boolean; };
}

interface AdoptingConfig {
    active: unknown;
    adopt(next: VersionedConfigText): boolean;
}

/** Exchanges parts of a process after it was composed. */
export type ProcessChange = (process: SkylarkProcess) => void;

const RETURN_DELAY_MS = 500;

/** Every key is taken for one of another team. */
export const takeKeysForDepot: ProcessChange = process => {
    process.keys.verify = () => ok("depot");
};

/** Withdrawals of keys are not seen. */
export const ignoreWithdrawals: ProcessChange = process => {
    const { ledger } = process.keys as unknown as WithdrawingKeys;
    ledger.isWithdrawn = () => false;
};

/** Lower versions of the text are adopted as well: the first text comes back some time after a later one. */
export const adoptLowerVersions: ProcessChange = process => {
    const config = process.config as unknown as AdoptingConfig;
    const adopt = config.adopt.bind(config);
    let first: VersionedConfigText | undefined;
    config.adopt = next => {
        const isAdopted = adopt(next);
        first ??= next;
        if (isAdopted && next.version > first.version) {
            process.environment.timer.after(RETURN_DELAY_MS, () => {
                config.active = undefined;
                adopt(first!);
            });
        }
        return isAdopted;
    };
};

/** Only the first version of the text is adopted. */
export const adoptFirstVersionOnly: ProcessChange = process => {
    const config = process.config as unknown as AdoptingConfig;
    const adopt = config.adopt.bind(config);
    config.adopt = next => {
        return next.version === 1 && adopt(next);
    };
};

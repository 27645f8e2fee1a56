import type { VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import type { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import { ok } from "neverthrow";

/** Part of `KeyController` with a method that a mutant replaces. */
interface KeyControllerInternals {
    readonly ledger: { isWithdrawn: (keyId: string) => boolean; };
}

/** Private members of `ConfigController` that mutants replace. */
interface ConfigControllerInternals {
    active: unknown;
    adopt(next: VersionedConfigText): boolean;
}

/** Replaces parts of a process after its construction. */
export type ProcessChange = (process: SkylarkProcess) => void;

const REVERT_DELAY_MS = 500;

/** Every key, even an invalid one, is accepted as a key of the team `depot`. */
export const acceptAllKeysAsDepot: ProcessChange = process => {
    process.keys.verify = () => ok("depot");
};

/** Withdrawn keys are accepted. */
export const ignoreWithdrawals: ProcessChange = process => {
    const { ledger } = process.keys as unknown as KeyControllerInternals;
    ledger.isWithdrawn = () => false;
};

/** Lower configuration versions are adopted too: a process reverts to its first one soon after adopting another. */
export const adoptLowerVersions: ProcessChange = process => {
    const config = process.config as unknown as ConfigControllerInternals;
    const adopt = config.adopt.bind(config);
    let first: VersionedConfigText | undefined;
    config.adopt = next => {
        const isAdopted = adopt(next);
        first ??= next;
        if (isAdopted && next.version > first.version) {
            process.environment.timer.after(REVERT_DELAY_MS, () => {
                config.active = undefined;
                adopt(first!);
            });
        }
        return isAdopted;
    };
};

/** Only the first version of the configuration is adopted. */
export const adoptFirstVersionOnly: ProcessChange = process => {
    const config = process.config as unknown as ConfigControllerInternals;
    const adopt = config.adopt.bind(config);
    config.adopt = next => {
        return next.version === 1 && adopt(next);
    };
};

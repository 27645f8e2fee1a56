import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import { err, type Result } from "neverthrow";

/** State of the link between a process and the platform's services. */
export interface StoreLink {
    readonly cut: boolean;
    /** Calls over a cut link fail with a lost reply, so their effect is unknown; otherwise they fail as unavailable. */
    readonly silent: boolean;
}

type Call<T> = () => Promise<Result<T, StoreError>>;

const STORE_LINK_DELAY_MS = 1;

/** Link that is not cut. */
export const OPEN_STORE_LINK: StoreLink = { cut: false, silent: false };

/**
 * Wraps the platform's services so that the calls of a process go over a link that can be cut. If the link is cut when
 * a call returns, the reply is lost.
 */
export function withStoreLink(environment: ProcessEnvironment, currentLink: () => StoreLink): ProcessEnvironment {
    const send = async <T>(call: Call<T>): Promise<Result<T, StoreError>> => {
        const linkAtSend = currentLink();
        await sleep(environment.timer, STORE_LINK_DELAY_MS);
        if (linkAtSend.cut) {
            return err(linkAtSend.silent ? REPLY_LOST : UNAVAILABLE);
        }
        const result = await call();
        return currentLink().cut ? err(REPLY_LOST) : result;
    };
    const { liveList, objects, table } = environment;
    return {
        ...environment,
        table: {
            read: (name, key) => send(() => table.read(name, key)),
            scan: request => send(() => table.scan(request)),
            commit: transaction => send(() => table.commit(transaction))
        },
        objects: {
            put: (name, content) => send(() => objects.put(name, content)),
            get: name => send(() => objects.get(name)),
            remove: name => send(() => objects.remove(name))
        },
        liveList: { read: () => send(() => liveList.read()) }
    };
}

const REPLY_LOST: StoreError = { kind: StoreErrorKind.ReplyLost, message: "No reply came." };
const UNAVAILABLE: StoreError = { kind: StoreErrorKind.Unavailable, message: "The service cannot be reached." };

import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import { FaultyDeployment } from "@skylarkpath/proof/members/FaultyDeployment";
import { MEMBERSHIP_CONFIG_TEXT } from "@skylarkpath/proof/members/MembershipConfigText";
import { KALLIO_TOPOLOGY } from "@skylarkpath/proof/Topology";

/** Bytes over the slow link between regions for a request at an entry outside of the store's region. */
export interface RequestTraffic {
    readonly lookupBytes: number;
    readonly jobBytes: number;
}

const REQUEST_COUNT = 100;
const REQUEST_INTERVAL_MS = 100;
const TASK_MEMORY_BYTES = 1024;

/** Measures the bytes between regions that look-ups and batch jobs add to the idle traffic. */
export async function measureRequestTraffic(seed: number): Promise<RequestTraffic> {
    const faulty = new FaultyDeployment(KALLIO_TOPOLOGY, seed);
    const { timer, processes } = faulty.deployment;
    await timer.advance(2000);
    const first = processes[0]!.process;
    (await timer.advanceUntil(first.config.apply(MEMBERSHIP_CONFIG_TEXT, 0)))._unsafeUnwrap();
    const { key } = (await timer.advanceUntil(first.keys.grant("depot")))._unsafeUnwrap();
    await timer.advance(10_000);
    const tasks = { count: 1, processorMillicores: 1000, memoryBytes: TASK_MEMORY_BYTES };
    const idleBytes = await measureLinkBytes(faulty, async () => true);
    const lookupBytes = await measureLinkBytes(
        faulty,
        () => submit(faulty, key, { queue: "part-lookup", payload: "part" })
    );
    const jobBytes = await measureLinkBytes(
        faulty,
        () => submit(faulty, key, { queue: "diagnostics", payload: "night", tasks })
    );
    return { lookupBytes: (lookupBytes - idleBytes) / REQUEST_COUNT, jobBytes: (jobBytes - idleBytes) / REQUEST_COUNT };
}

async function submit(faulty: FaultyDeployment, key: string, rawBody: JsonValue): Promise<boolean> {
    const entry = faulty.deployment.processes.at(-1)!.process;
    const { outcome } = await entry.requests.submit({ rawBody, key });
    return outcome.state === OutcomeState.Done || outcome.state === OutcomeState.Accepted;
}

async function measureLinkBytes(faulty: FaultyDeployment, request: () => Promise<boolean>): Promise<number> {
    const bytesBefore = faulty.totals.crossRegionBytes;
    const replies: Promise<boolean>[] = [];
    for (let count = 0; count < REQUEST_COUNT; count++) {
        replies.push(request());
        await faulty.deployment.timer.advance(REQUEST_INTERVAL_MS);
    }
    await faulty.deployment.timer.advance(REQUEST_COUNT * REQUEST_INTERVAL_MS);
    const served = (await Promise.all(replies)).filter(reply => reply).length;
    if (served < REQUEST_COUNT) {
        throw new Error(`Only ${served} of ${REQUEST_COUNT} requests were served.`);
    }
    return faulty.totals.crossRegionBytes - bytesBefore;
}

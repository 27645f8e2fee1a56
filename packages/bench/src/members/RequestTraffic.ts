import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import { FaultyDeployment } from "@skylarkpath/proof/members/FaultyDeployment";
import { MEMBERS_TEXT } from "@skylarkpath/proof/members/MembersText";
import { KALLIO_TOPOLOGY } from "@skylarkpath/proof/Topology";

/** Bytes over the slow link for each request of one kind at an entry of the region without the store. */
export interface RequestTraffic {
    readonly lookupBytes: number;
    readonly jobBytes: number;
}

const REQUESTS = 100;
const SPACING_MS = 100;
const TASK_BYTES = 1024;

/** Measures the bytes that look-ups and batch jobs add to those at rest. */
export async function measureRequestTraffic(seed: number): Promise<RequestTraffic> {
    const faulty = new FaultyDeployment(KALLIO_TOPOLOGY, seed);
    const { timer, processes } = faulty.deployment;
    await timer.advance(2000);
    const first = processes[0]!.process;
    (await timer.advanceUntil(first.config.apply(MEMBERS_TEXT, 0)))._unsafeUnwrap();
    const { key } = (await timer.advanceUntil(first.keys.grant("depot")))._unsafeUnwrap();
    await timer.advance(10_000);
    const tasks = { count: 1, processorMillicores: 1000, memoryBytes: TASK_BYTES };
    const restBytes = await bytesOf(faulty, async () => true);
    const lookups = await bytesOf(faulty, () => submit(faulty, key, { queue: "part-lookup", payload: "part" }));
    const jobs = await bytesOf(faulty, () => submit(faulty, key, { queue: "diagnostics", payload: "night", tasks }));
    return { lookupBytes: (lookups - restBytes) / REQUESTS, jobBytes: (jobs - restBytes) / REQUESTS };
}

async function submit(faulty: FaultyDeployment, key: string, rawBody: JsonValue): Promise<boolean> {
    const entry = faulty.deployment.processes.at(-1)!.process;
    const { outcome } = await entry.requests.submit({ rawBody, key });
    return outcome.state === OutcomeState.Done || outcome.state === OutcomeState.Accepted;
}

async function bytesOf(faulty: FaultyDeployment, request: () => Promise<boolean>): Promise<number> {
    const before = faulty.totals.linkBytes;
    const replies: Promise<boolean>[] = [];
    for (let count = 0; count < REQUESTS; count++) {
        replies.push(request());
        await faulty.deployment.timer.advance(SPACING_MS);
    }
    await faulty.deployment.timer.advance(REQUESTS * SPACING_MS);
    const served = (await Promise.all(replies)).filter(reply => reply).length;
    if (served < REQUESTS) {
        throw new Error(`Only ${served} of ${REQUESTS} requests were served.`);
    }
    return faulty.totals.linkBytes - before;
}

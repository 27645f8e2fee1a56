import { FaultyDeployment } from "@skylarkpath/proof/members/FaultyDeployment";
import { measureRequestTraffic } from "./RequestTraffic.js";
import { type MeasuredSize, measuredSizes } from "./Sizes.js";

interface Figures {
    readonly linkBytesPerSecond: number;
    readonly mostBytesPerSecond: number;
    readonly storeReadsPerSecond: number;
    readonly changeLinkBytes: number;
    readonly changeStoreReads: number;
    readonly changeTimesMs: readonly number[];
    readonly withdrawalTimesMs: readonly number[];
}

const SEED = 31;
const REST_MS = 10_000;
const CHANGES = 8;
const CHANGE_WAIT_MS = 6000;
const TEAM_COUNT = 230;

function textOf(size: MeasuredSize, change: number): string {
    const domains = size.topology.domains.map(domain =>
        `[failure_domains.${domain.failureDomain}]\nregion = "${domain.region}"\n`
    );
    const teams = [...Array(TEAM_COUNT).keys()].map(place =>
        `[teams.team-${place}]\nshare = ${place === 0 ? change + 1 : 1}\n`
        + `limit = { processors = 12, memory = "48GiB", accelerators = 0, slots = 60 }\n`
    );
    const classes = `[worker_classes.standard]\nprocessors = 16\nmemory = "64GiB"\naccelerators = 0\n`;
    return `deployment = "measured"\n${domains.join("")}${classes}${teams.join("")}`;
}

/** Advances step by step until the condition holds at every process; returns the times of each. */
async function timesUntil(
    faulty: FaultyDeployment,
    holds: (place: number) => boolean
): Promise<readonly number[]> {
    const { timer, processes } = faulty.deployment;
    const startMs = timer.nowMs();
    const times = new Map<number, number>();
    while (timer.nowMs() - startMs < CHANGE_WAIT_MS) {
        for (const place of processes.keys()) {
            if (!times.has(place) && holds(place)) {
                times.set(place, timer.nowMs() - startMs);
            }
        }
        await timer.advance(5);
    }
    return [...processes.keys()].map(place => times.get(place) ?? Infinity);
}

async function measure(size: MeasuredSize): Promise<Figures> {
    const faulty = new FaultyDeployment(size.topology, SEED);
    const { timer, processes, table } = faulty.deployment;
    await timer.advance(5000);
    const first = processes[0]!.process;
    (await timer.advanceUntil(first.config.apply(textOf(size, 0), 0)))._unsafeUnwrap();
    await timer.advance(CHANGE_WAIT_MS);
    const restStart = faulty.totals;
    const restReads = table.counts.reads;
    await timer.advance(REST_MS);
    const rest = faulty.totals;
    const readsAtRest = table.counts.reads - restReads;
    const restSeconds = REST_MS / 1000;
    const restPerWait = (rest.linkBytes - restStart.linkBytes) * CHANGE_WAIT_MS / REST_MS;
    const changeTimesMs: number[] = [];
    let changeLinkBytes = 0;
    let changeReads = 0;
    for (let change = 1; change <= CHANGES; change++) {
        const before = faulty.totals.linkBytes;
        const readsBefore = table.counts.reads;
        await timer.advance(change * 37);
        (await timer.advanceUntil(first.config.apply(textOf(size, change), change), 60_000, 1))._unsafeUnwrap();
        changeTimesMs.push(...await timesUntil(faulty, place => processes[place]!.process.config.version > change));
        changeLinkBytes += faulty.totals.linkBytes - before - restPerWait;
        changeReads += table.counts.reads - readsBefore - readsAtRest * CHANGE_WAIT_MS / REST_MS;
    }
    const withdrawalTimesMs: number[] = [];
    for (let change = 0; change < CHANGES; change++) {
        const granted = (await timer.advanceUntil(first.keys.grant("team-0")))._unsafeUnwrap();
        await timer.advance(2000);
        await timer.advanceUntil(first.keys.withdraw(granted.keyId), 60_000, 1);
        withdrawalTimesMs.push(
            ...await timesUntil(faulty, place => processes[place]!.process.keys.verify(granted.key, 0).isErr())
        );
    }
    const perProcess = [...rest.byProcess].map(([address, bytes]) => bytes - (restStart.byProcess.get(address) ?? 0));
    return {
        linkBytesPerSecond: (rest.linkBytes - restStart.linkBytes) / restSeconds,
        mostBytesPerSecond: Math.max(...perProcess) / restSeconds,
        storeReadsPerSecond: readsAtRest / restSeconds,
        changeLinkBytes: changeLinkBytes / CHANGES,
        changeStoreReads: changeReads / CHANGES,
        changeTimesMs,
        withdrawalTimesMs
    };
}

function quantile(values: readonly number[], part: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))]!;
}

function render(size: MeasuredSize, figures: Figures): string {
    const processes = size.topology.domains.reduce((sum, domain) => sum + domain.entries, 0);
    const { changeTimesMs, withdrawalTimesMs } = figures;
    return [
        size.name,
        String(processes),
        figures.linkBytesPerSecond.toFixed(0),
        figures.mostBytesPerSecond.toFixed(0),
        figures.storeReadsPerSecond.toFixed(1),
        figures.changeLinkBytes.toFixed(0),
        figures.changeStoreReads.toFixed(1),
        `${quantile(changeTimesMs, 0.5)} / ${Math.max(...changeTimesMs)}`,
        `${quantile(withdrawalTimesMs, 0.5)} / ${Math.max(...withdrawalTimesMs)}`
    ].join(" | ");
}

console.log(`seed ${SEED}, virtual time, text of ${TEAM_COUNT} teams`);
const requests = await measureRequestTraffic(SEED);
console.log(
    `slow link, today, entry without the store: ${requests.lookupBytes.toFixed(0)} B per look-up, `
        + `${requests.jobBytes.toFixed(0)} B per batch job`
);
console.log(
    "size | processes | slow link B/s at rest | most B/s of a process | store reads/s | slow link B per change"
        + " | store reads per change | change in force ms p50 / max | withdrawal in force ms p50 / max"
);
for (const size of measuredSizes()) {
    console.log(render(size, await measure(size)));
}

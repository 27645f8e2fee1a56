import { FaultyDeployment } from "@skylarkpath/proof/members/FaultyDeployment";
import { measureRequestTraffic } from "./RequestTraffic.js";
import { createMeasuredSizes, type MeasuredSize } from "./Sizes.js";

interface Measurements {
    readonly linkBytesPerSecond: number;
    readonly maxProcessBytesPerSecond: number;
    readonly storeReadsPerSecond: number;
    readonly changeLinkBytes: number;
    readonly changeStoreReads: number;
    readonly changeTimesMs: readonly number[];
    readonly withdrawalTimesMs: readonly number[];
}

const SEED = 31;
const IDLE_DURATION_MS = 10_000;
const CHANGE_COUNT = 8;
const CHANGE_WAIT_MS = 6000;
const TEAM_COUNT = 230;

function composeOperatorsText(size: MeasuredSize, change: number): string {
    const domains = size.topology.domains.map(domain =>
        `[failure_domains.${domain.failureDomain}]\nregion = "${domain.region}"\n`
    );
    const teams = [...Array(TEAM_COUNT).keys()].map(index =>
        `[teams.team-${index}]\nshare = ${index === 0 ? change + 1 : 1}\n`
        + `limit = { processors = 12, memory = "48GiB", accelerators = 0, slots = 60 }\n`
    );
    const classes = `[worker_classes.standard]\nprocessors = 16\nmemory = "64GiB"\naccelerators = 0\n`;
    return `deployment = "measured"\n${domains.join("")}${classes}${teams.join("")}`;
}

/** Measures how long each process takes to meet a condition, in milliseconds; infinity for those that time out. */
async function measureTimesUntil(
    faulty: FaultyDeployment,
    isReached: (index: number) => boolean
): Promise<readonly number[]> {
    const { timer, processes } = faulty.deployment;
    const startedAtMs = timer.nowMs();
    const timesMs = new Map<number, number>();
    while (timer.nowMs() - startedAtMs < CHANGE_WAIT_MS) {
        for (const index of processes.keys()) {
            if (!timesMs.has(index) && isReached(index)) {
                timesMs.set(index, timer.nowMs() - startedAtMs);
            }
        }
        await timer.advance(5);
    }
    return [...processes.keys()].map(index => timesMs.get(index) ?? Infinity);
}

async function measure(size: MeasuredSize): Promise<Measurements> {
    const faulty = new FaultyDeployment(size.topology, SEED);
    const { timer, processes, table } = faulty.deployment;
    await timer.advance(5000);
    const first = processes[0]!.process;
    (await timer.advanceUntil(first.config.apply(composeOperatorsText(size, 0), 0)))._unsafeUnwrap();
    await timer.advance(CHANGE_WAIT_MS);
    const totalsBeforeIdle = faulty.totals;
    const readsBeforeIdle = table.counts.reads;
    await timer.advance(IDLE_DURATION_MS);
    const totalsAfterIdle = faulty.totals;
    const idleReads = table.counts.reads - readsBeforeIdle;
    const idleSeconds = IDLE_DURATION_MS / 1000;
    const idleBytesPerWait = (totalsAfterIdle.crossRegionBytes - totalsBeforeIdle.crossRegionBytes) * CHANGE_WAIT_MS
        / IDLE_DURATION_MS;
    const changeTimesMs: number[] = [];
    let changeLinkBytes = 0;
    let changeStoreReads = 0;
    for (let change = 1; change <= CHANGE_COUNT; change++) {
        const bytesBefore = faulty.totals.crossRegionBytes;
        const readsBefore = table.counts.reads;
        await timer.advance(change * 37);
        (await timer.advanceUntil(first.config.apply(composeOperatorsText(size, change), change), 60_000, 1))
            ._unsafeUnwrap();
        changeTimesMs.push(
            ...await measureTimesUntil(faulty, index => processes[index]!.process.config.version > change)
        );
        changeLinkBytes += faulty.totals.crossRegionBytes - bytesBefore - idleBytesPerWait;
        changeStoreReads += table.counts.reads - readsBefore - idleReads * CHANGE_WAIT_MS / IDLE_DURATION_MS;
    }
    const withdrawalTimesMs: number[] = [];
    for (let change = 0; change < CHANGE_COUNT; change++) {
        const granted = (await timer.advanceUntil(first.keys.grant("team-0")))._unsafeUnwrap();
        await timer.advance(2000);
        await timer.advanceUntil(first.keys.withdraw(granted.keyId), 60_000, 1);
        withdrawalTimesMs.push(
            ...await measureTimesUntil(faulty, index => processes[index]!.process.keys.verify(granted.key, 0).isErr())
        );
    }
    const bytesByProcess = [...totalsAfterIdle.byProcess].map(([address, bytes]) =>
        bytes - (totalsBeforeIdle.byProcess.get(address) ?? 0)
    );
    return {
        linkBytesPerSecond: (totalsAfterIdle.crossRegionBytes - totalsBeforeIdle.crossRegionBytes) / idleSeconds,
        maxProcessBytesPerSecond: Math.max(...bytesByProcess) / idleSeconds,
        storeReadsPerSecond: idleReads / idleSeconds,
        changeLinkBytes: changeLinkBytes / CHANGE_COUNT,
        changeStoreReads: changeStoreReads / CHANGE_COUNT,
        changeTimesMs,
        withdrawalTimesMs
    };
}

function quantile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!;
}

function renderRow(size: MeasuredSize, measurements: Measurements): string {
    const processes = size.topology.domains.reduce((sum, domain) => sum + domain.entries, 0);
    const { changeTimesMs, withdrawalTimesMs } = measurements;
    return [
        size.name,
        String(processes),
        measurements.linkBytesPerSecond.toFixed(0),
        measurements.maxProcessBytesPerSecond.toFixed(0),
        measurements.storeReadsPerSecond.toFixed(1),
        measurements.changeLinkBytes.toFixed(0),
        measurements.changeStoreReads.toFixed(1),
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
for (const size of createMeasuredSizes()) {
    console.log(renderRow(size, await measure(size)));
}

import { PeerState } from "@skylarkpath/control/membership/MembershipController";
import { Suspicion } from "@skylarkpath/control/membership/SuspicionTracker";
import { LinkKind } from "@skylarkpath/control/peer/TrafficCounter";
import test from "ava";
import { KALLIO_TOPOLOGY } from "../Topology.js";
import { FaultyDeployment } from "./FaultyDeployment.js";

const SEED = 5;
const TOPOLOGY = { ...KALLIO_TOPOLOGY, domains: KALLIO_TOPOLOGY.domains.map(withFewMachines) };

function withFewMachines<T extends object>(domain: T): T & { readonly workers: number; readonly targets: number; } {
    return { ...domain, workers: 1, targets: 1 };
}

async function start(): Promise<FaultyDeployment> {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(TOPOLOGY, SEED);
    await faulty.deployment.timer.advance(4000);
    return faulty;
}

function stateOf(faulty: FaultyDeployment, observer: string, observed: string): PeerState | undefined {
    return faulty.deployment.process(observer).process.membership.peer(observed)?.state;
}

function suspicionOf(faulty: FaultyDeployment, observer: string, observed: string): Suspicion | undefined {
    return faulty.deployment.process(observer).process.membership.peer(observed)?.suspicion;
}

function allPeersAlive(faulty: FaultyDeployment): boolean {
    const ids = faulty.deployment.processes.map(running => running.machine.machineId);
    return ids.every(observer =>
        ids.every(observed => observer === observed || stateOf(faulty, observer, observed) === PeerState.Alive)
    );
}

function crossRegionSenders(faulty: FaultyDeployment): ReadonlySet<string> {
    const seen = faulty.peerCalls.filter(call => call.crossesRegions && call.method === "membership.heartbeat");
    return new Set(seen.map(call => call.from));
}

test("all processes know each other and every slice, and one per region sends heartbeats to other regions", async t => {
    const faulty = await start();
    t.true(allPeersAlive(faulty));
    for (const { process } of faulty.deployment.processes) {
        t.deepEqual(process.directory.all.map(location => location.sliceId).sort(), ["oulu", "tampere", "vantaa"]);
    }
    const settled = new FaultyDeployment(TOPOLOGY, SEED);
    await settled.deployment.timer.advance(3000);
    const before = settled.peerCalls.length;
    await settled.deployment.timer.advance(5000);
    const senders = new Set(
        settled.peerCalls.slice(before)
            .filter(call => call.crossesRegions && call.method === "membership.heartbeat").map(call => call.from)
    );
    t.is(senders.size, 2);
    t.true(crossRegionSenders(faulty).size >= 2);
});

test("each process counts its traffic by kind of link", async t => {
    const faulty = await start();
    const counted = faulty.deployment.processes.flatMap(({ process }) => process.traffic.counts);
    const bytesOf = (link: LinkKind): number =>
        counted.filter(count => count.link === link).reduce((sum, count) => sum + count.bytes, 0);
    const seen = faulty.peerCalls.filter(call => call.crossesRegions).reduce((sum, call) => sum + call.bytes, 0);
    t.true(bytesOf(LinkKind.Domain) > 0 && bytesOf(LinkKind.Region) > 0);
    t.true(Math.abs(bytesOf(LinkKind.Remote) - seen) < seen / 10, `${bytesOf(LinkKind.Remote)} of ${seen}`);
});

test("a killed relay is replaced, and no other process is suspected", async t => {
    const faulty = await start();
    const suspected: string[] = [];
    for (const { process } of faulty.deployment.processes) {
        process.membership.onPeerState(view => {
            if (view.state !== PeerState.Alive) {
                suspected.push(view.heartbeat.processId);
            }
        });
    }
    for (const dying of ["oulu-entry-0", "tampere-entry-0", "vantaa-entry-0"]) {
        faulty.deployment.kill(dying);
        await faulty.deployment.timer.advance(8000);
        t.true(allPeersAlive(faulty), `after ${dying}`);
    }
    const expected = new Set(["oulu-entry-0", "tampere-entry-0", "vantaa-entry-0"]);
    t.deepEqual(new Set(suspected), expected);
});

test("a paused process is distinguished from one whose VM is gone", async t => {
    const faulty = await start();
    faulty.pause("vantaa-entry-1");
    faulty.deployment.kill("vantaa-entry-2");
    await faulty.deployment.timer.advance(900 + 1000);
    t.is(suspicionOf(faulty, "vantaa-entry-0", "vantaa-entry-1"), Suspicion.NoReply);
    await faulty.deployment.timer.advance(4000);
    t.is(stateOf(faulty, "vantaa-entry-0", "vantaa-entry-1"), PeerState.Dead);
    const gone = faulty.deployment.process("vantaa-entry-0").process.membership.peer("vantaa-entry-2");
    t.true(gone === undefined || gone.suspicion === Suspicion.Gone);
    faulty.resume("vantaa-entry-1");
    await faulty.deployment.timer.advance(1500);
    t.true(allPeersAlive(faulty));
});

test("a process is not declared dead while others in its failure domain receive its heartbeats", async t => {
    const faulty = await start();
    faulty.cutProcesses("tampere-entry-0", "tampere-entry-2");
    await faulty.deployment.timer.advance(10_000);
    t.is(stateOf(faulty, "tampere-entry-0", "tampere-entry-2"), PeerState.Suspected);
    t.is(suspicionOf(faulty, "tampere-entry-0", "tampere-entry-2"), Suspicion.HeardByOthers);
    t.is(stateOf(faulty, "oulu-entry-0", "tampere-entry-2"), PeerState.Alive);
});

test("heartbeats are relayed through a third failure domain when the link between two is cut", async t => {
    const faulty = await start();
    faulty.cut("vantaa", "oulu");
    await faulty.deployment.timer.advance(12_000);
    t.true(allPeersAlive(faulty));
    faulty.cut("tampere", "oulu");
    await faulty.deployment.timer.advance(12_000);
    t.is(stateOf(faulty, "vantaa-entry-1", "oulu-entry-1"), PeerState.Dead);
    t.is(stateOf(faulty, "oulu-entry-0", "tampere-entry-1"), PeerState.Dead);
    faulty.heal();
    await faulty.deployment.timer.advance(4000);
    t.true(allPeersAlive(faulty));
});

test("a new VM that reuses the id of a dead one is recognized by its incarnation", async t => {
    const faulty = await start();
    faulty.deployment.kill("tampere-entry-1");
    await faulty.deployment.timer.advance(100);
    const { machine } = faulty.deployment.startProcess(
        { failureDomain: "tampere", region: "etela" },
        "tampere-entry-1"
    );
    await faulty.deployment.timer.advance(5000);
    t.true(allPeersAlive(faulty));
    for (const { process, machine: observer } of faulty.deployment.processes) {
        if (observer.machineId !== machine.machineId) {
            const { heartbeat } = process.membership.peer("tampere-entry-1")!;
            t.is(heartbeat.incarnation, machine.incarnation);
            t.is(heartbeat.address, machine.address);
        }
    }
});

test("a withdrawn key stops working in time while the relays of both regions are killed in turn", async t => {
    const faulty = await start();
    const { timer } = faulty.deployment;
    const keys = faulty.deployment.process("vantaa-entry-1").process.keys;
    const granted = (await timer.advanceUntil(keys.grant("dispatch")))._unsafeUnwrap();
    await timer.advance(2000);
    faulty.deployment.kill("vantaa-entry-0");
    const withdrawal = await timer.advanceUntil(keys.withdraw(granted.keyId), 60_000, 1);
    t.true(withdrawal._unsafeUnwrap()!.complete);
    faulty.deployment.kill("oulu-entry-0");
    await timer.advance(5000);
    for (const { process } of faulty.deployment.processes) {
        t.true(process.keys.verify(granted.key, 0).isErr());
    }
    const other = (await timer.advanceUntil(keys.grant("dispatch")))._unsafeUnwrap();
    await timer.advance(2000);
    for (const { process } of faulty.deployment.processes) {
        t.true(process.keys.verify(other.key, 0).isOk());
    }
});

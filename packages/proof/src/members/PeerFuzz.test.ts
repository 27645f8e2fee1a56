import { PeerErrorKind } from "@skylarkpath/common/peer/PeerTransport";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import { PeerMethod } from "@skylarkpath/control/peer/PeerMessages";
import test from "ava";
import fc from "fast-check";
import { SMALL_TOPOLOGY } from "../Topology.js";
import { FaultyDeployment } from "./FaultyDeployment.js";
import { MEMBERSHIP_CONFIG_TEXT } from "./MembershipConfigText.js";

const SEED = 2718;
const MESSAGE_COUNT = 1500;
const FIELD_NAMES = [
    "requestId",
    "sliceId",
    "team",
    "queue",
    "version",
    "text",
    "delta",
    "baseVersion",
    "changes",
    "keyId",
    "record",
    "news",
    "wanted",
    "known",
    "processId",
    "since",
    "afterCount",
    "teams",
    "waitMs",
    "lookupId",
    "remainingMs"
];

const bodyArbitrary = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(fc.constantFrom(...FIELD_NAMES), fc.oneof(fc.jsonValue(), fc.nat(), fc.string()), { maxKeys: 8 })
);

const messageArbitrary = fc.record({
    method: fc.constantFrom(...Object.values(PeerMethod)),
    parameters: fc.oneof(
        fc.jsonValue(),
        fc.record({
            time: fc.oneof(
                fc.jsonValue(),
                fc.record({ wallClockMs: fc.double(), counter: fc.integer() }),
                fc.constant({ wallClockMs: 1_700_000_000_000, counter: 1 })
            ),
            from: fc.oneof(fc.constant("vantaa-entry-1"), fc.string()),
            body: bodyArbitrary
        })
    )
});

test("malformed messages are refused with an error message and change no state", async t => {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(SMALL_TOPOLOGY, SEED);
    const { timer, network } = faulty.deployment;
    await timer.advance(2000);
    const { process, timeline, machine } = faulty.deployment.process("vantaa-entry-0");
    (await timer.advanceUntil(process.config.apply(MEMBERSHIP_CONFIG_TEXT, 0)))._unsafeUnwrap();
    const { key } = (await timer.advanceUntil(process.keys.grant("dispatch")))._unsafeUnwrap();
    await timer.advance(4000);
    const unknownPeer = network.peerTransportOf("127.0.0.1:999");
    let refused = 0;
    const messages = fc.sample(messageArbitrary, { seed: SEED, numRuns: MESSAGE_COUNT });
    for (const { method, parameters } of messages) {
        const copy = JSON.parse(JSON.stringify(parameters)) as JsonValue;
        const reply = await timer.advanceUntil(unknownPeer.call(machine.address, method, copy, 1500), 10_000, 2);
        if (reply.isErr() && reply.error.kind === PeerErrorKind.Refused) {
            refused++;
            t.true(reply.error.message.length > 0);
        }
    }
    t.true(refused > MESSAGE_COUNT / 2, `${refused} refused`);
    await timer.advance(4000);
    t.is(process.config.version, 1);
    t.true(process.isReady);
    t.is(process.keys.verify(key, 0)._unsafeUnwrap(), "dispatch");
    t.true(process.environment.clock.tick().wallClockMs <= timer.wallClockMs());
    t.deepEqual(process.directory.all.map(location => location.sliceId).sort(), ["oulu", "tampere", "vantaa"]);
    t.false(JSON.stringify(timeline.read({})).includes(key.split("_")[2]!));
});

import test from "ava";
import fc from "fast-check";
import { DEFAULT_PEER_SIGNER_OPTIONS, PEER_SIGNATURE_HEADER, PeerSigner } from "./PeerSigner.js";

const SEED = 77;
const KEY = "a key of the settings";

function createPair(skewMs = 0): { sender: PeerSigner; receiver: PeerSigner; } {
    const options = { ...DEFAULT_PEER_SIGNER_OPTIONS, now: () => 1_700_000_000_000 };
    const sender = new PeerSigner(KEY, { ...options, now: () => options.now() + skewMs });
    const receiver = new PeerSigner(KEY, options);
    receiver.setOwnAddress("127.0.0.1:1");
    return { sender, receiver };
}

function lookup(headers: Readonly<Record<string, string>>): (name: string) => string | undefined {
    return name => headers[name];
}

test("each message is accepted once, also when messages arrive out of order", t => {
    const { sender, receiver } = createPair();
    const messages = ["a", "b", "c"].map(body => ({ body, headers: sender.sign(body, "127.0.0.1:1") }));
    for (const { body, headers } of [...messages].reverse()) {
        t.true(receiver.verify(body, lookup(headers)));
    }
    for (const { body, headers } of messages) {
        t.false(receiver.verify(body, lookup(headers)));
    }
});

test("a message for another process, signed with another key or with another body is rejected", t => {
    const { sender, receiver } = createPair();
    t.false(receiver.verify("a", lookup(sender.sign("a", "127.0.0.1:2"))));
    t.false(receiver.verify("b", lookup(sender.sign("a", "127.0.0.1:1"))));
    const stranger = new PeerSigner("another key", { ...DEFAULT_PEER_SIGNER_OPTIONS, now: () => 1_700_000_000_000 });
    t.false(receiver.verify("a", lookup(stranger.sign("a", "127.0.0.1:1"))));
});

test("clocks may differ by up to the maximum skew of five minutes", t => {
    for (
        const [skewMs, expected] of [[-299_000, true], [299_000, true], [-301_000, false], [301_000, false]] as const
    ) {
        const { sender, receiver } = createPair(skewMs);
        t.is(receiver.verify("a", lookup(sender.sign("a", "127.0.0.1:1"))), expected, `${skewMs}`);
    }
});

test("a message that is older than the replay window is rejected", t => {
    const { sender, receiver } = createPair();
    const first = sender.sign("a", "127.0.0.1:1");
    for (let count = 0; count < 9000; count++) {
        t.true(receiver.verify("b", lookup(sender.sign("b", "127.0.0.1:1"))));
    }
    t.false(receiver.verify("a", lookup(first)));
});

test("a reply is valid for one request only", t => {
    const { sender, receiver } = createPair();
    const [first, second] = [sender.sign("a", "127.0.0.1:1"), sender.sign("a", "127.0.0.1:1")];
    const reply = receiver.signReply("answer", lookup(first));
    t.true(sender.verifyReply("answer", lookup(reply), first));
    t.false(sender.verifyReply("answer", lookup(reply), second));
    t.false(sender.verifyReply("another answer", lookup(reply), first));
});

test("no random or altered header is accepted or makes the verification throw", t => {
    t.log(`seed ${SEED}`);
    const { sender, receiver } = createPair();
    const valid = sender.sign("a", "127.0.0.1:1")[PEER_SIGNATURE_HEADER]!;
    const header = fc.oneof(
        fc.string(),
        fc.record({ at: fc.nat(valid.length - 1), by: fc.string({ minLength: 1, maxLength: 1 }) }).map(({ at, by }) =>
            valid.slice(0, at) + by + valid.slice(at + 1)
        )
    );
    fc.assert(
        fc.property(
            header,
            value => value === valid || !receiver.verify("a", lookup({ [PEER_SIGNATURE_HEADER]: value }))
        ),
        { seed: SEED, numRuns: 3000 }
    );
    t.pass();
});

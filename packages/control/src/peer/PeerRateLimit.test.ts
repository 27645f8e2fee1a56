import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { PeerRateLimit } from "./PeerRateLimit.js";

test("a sender is refused above its burst, another one is not, and time gives room again", async t => {
    const timer = new VirtualTimer();
    const limit = new PeerRateLimit(timer, { messagesPerSecond: 10, burstMessages: 3, maxSenders: 8 });
    const takes = (): readonly boolean[] => [1, 2, 3, 4].map(() => limit.take("a"));
    t.deepEqual(takes(), [true, true, true, false]);
    t.true(limit.take("b"));
    await timer.advance(200);
    t.deepEqual(takes(), [true, true, false, false]);
});

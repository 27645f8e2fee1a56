import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { PeerRateLimiter } from "./PeerRateLimiter.js";

test("a sender is refused above its burst, another one is not, and tokens return with time", async t => {
    const timer = new VirtualTimer();
    const limit = new PeerRateLimiter(timer, { messagesPerSecond: 10, burstMessages: 3, maxSenders: 8 });
    const takes = (): readonly boolean[] => [1, 2, 3, 4].map(() => limit.tryConsume("a"));
    t.deepEqual(takes(), [true, true, true, false]);
    t.true(limit.tryConsume("b"));
    await timer.advance(200);
    t.deepEqual(takes(), [true, true, false, false]);
});

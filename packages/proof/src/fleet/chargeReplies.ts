import type { ModelledProcessor } from "./ModelledProcessor.js";

/** Wraps a client so that the processor handles each reply before the caller gets it. */
export function chargeReplies<T extends object>(client: T, processor: ModelledProcessor): T {
    return new Proxy(client, {
        get: (target, name) => {
            const method = Reflect.get(target, name) as (...parameters: unknown[]) => unknown;
            return async (...parameters: unknown[]) => {
                const reply = await method.apply(target, parameters);
                await processor.handleMessage();
                return reply;
            };
        }
    });
}

import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

const TOKEN_BYTES = 16;

/** Secret hashes, constant-time comparison and random tokens from Node's crypto module. */
export class NodeSecretHasher implements SecretHasher {
    public hash(text: string): string {
        return createHash("sha256").update(text, "utf8").digest("hex");
    }

    public constantTimeEquals(left: string, right: string): boolean {
        const leftDigest = createHash("sha256").update(left, "utf8").digest();
        const rightDigest = createHash("sha256").update(right, "utf8").digest();
        return timingSafeEqual(leftDigest, rightDigest);
    }

    public randomToken(): string {
        return randomBytes(TOKEN_BYTES).toString("hex");
    }
}

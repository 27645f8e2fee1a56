/** Cryptographic functions that are injected into a process. */
export interface SecretHasher {
    /** Returns the SHA-256 hash of a text in lower-case hexadecimal. */
    hash(text: string): string;
    /** Compares two texts in constant time. */
    constantTimeEquals(left: string, right: string): boolean;
    /** Returns an unguessable token of letters and digits with at least 128 bits of entropy. */
    randomToken(): string;
}

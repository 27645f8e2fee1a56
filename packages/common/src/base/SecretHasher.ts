/** Cryptographic functions that a process is given. */
export interface SecretHasher {
    /** Hash of a text as lower-case hexadecimal SHA-256. */
    hash(text: string): string;
    /** Compares two texts in constant time. */
    equals(left: string, right: string): boolean;
    /** Returns an unguessable text of letters and digits with at least 128 bits. */
    randomToken(): string;
}

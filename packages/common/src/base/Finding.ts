/** Position in a text, counted from one. */
export interface TextPosition {
    readonly line: number;
    readonly column: number;
}

/** One fault found in an input, with its place. */
export interface Finding {
    readonly position: TextPosition;
    readonly message: string;
}

/** Position in a text; lines and columns count from one. */
export interface TextPosition {
    readonly line: number;
    readonly column: number;
}

/** Error found in an input, with its position. */
export interface Finding {
    readonly position: TextPosition;
    readonly message: string;
}

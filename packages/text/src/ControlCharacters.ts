const CONTROL_CHARACTER = /[\p{Cc}\u2028\u2029]/gu;
const HEXADECIMAL_RADIX = 16;
const ESCAPE_DIGITS = 4;

/** Escapes control characters, so that the output stays on one line and contains no terminal escape sequences. */
export function escapeControlCharacters(text: string): string {
    return text.replace(CONTROL_CHARACTER, character => {
        const digits = character.charCodeAt(0).toString(HEXADECIMAL_RADIX).padStart(ESCAPE_DIGITS, "0");
        return `\\u${digits}`;
    });
}

const WINDOW_LENGTH = 8192;
const WORD_BITS = 32;

/** Remembers which of the latest sequence numbers of one sender were seen. */
export class ReplayWindow {
    private readonly words = new Uint32Array(WINDOW_LENGTH / WORD_BITS);
    private highest = 0;

    /** Notes a sequence number; false when it was seen before or is too old to tell. */
    public take(sequence: number): boolean {
        if (sequence > this.highest) {
            this.advanceTo(sequence);
        }
        else if (sequence <= this.highest - WINDOW_LENGTH || this.has(sequence)) {
            return false;
        }
        this.mark(sequence);
        return true;
    }

    private advanceTo(sequence: number): void {
        if (sequence - this.highest >= WINDOW_LENGTH) {
            this.words.fill(0);
        }
        else {
            for (let cleared = this.highest + 1; cleared <= sequence; cleared++) {
                const place = cleared % WINDOW_LENGTH;
                this.words[Math.floor(place / WORD_BITS)]! &= ~(1 << (place % WORD_BITS));
            }
        }
        this.highest = sequence;
    }

    private has(sequence: number): boolean {
        const place = sequence % WINDOW_LENGTH;
        return (this.words[Math.floor(place / WORD_BITS)]! & (1 << (place % WORD_BITS))) !== 0;
    }

    private mark(sequence: number): void {
        const place = sequence % WINDOW_LENGTH;
        this.words[Math.floor(place / WORD_BITS)]! |= 1 << (place % WORD_BITS);
    }
}

const WINDOW_SIZE = 8192;
const WORD_BITS = 32;

/** Bitmap of the latest sequence numbers received from one sender, used to detect replayed messages. */
export class ReplayWindow {
    private readonly words = new Uint32Array(WINDOW_SIZE / WORD_BITS);
    private highestSequence = 0;

    /** Records a sequence number; returns false if it was recorded before or is too old for the window. */
    public recordIfNew(sequence: number): boolean {
        if (sequence > this.highestSequence) {
            this.advanceTo(sequence);
        }
        else if (sequence <= this.highestSequence - WINDOW_SIZE || this.has(sequence)) {
            return false;
        }
        this.mark(sequence);
        return true;
    }

    private advanceTo(sequence: number): void {
        if (sequence - this.highestSequence >= WINDOW_SIZE) {
            this.words.fill(0);
        }
        else {
            for (let next = this.highestSequence + 1; next <= sequence; next++) {
                const bitIndex = next % WINDOW_SIZE;
                this.words[Math.floor(bitIndex / WORD_BITS)]! &= ~(1 << (bitIndex % WORD_BITS));
            }
        }
        this.highestSequence = sequence;
    }

    private has(sequence: number): boolean {
        const bitIndex = sequence % WINDOW_SIZE;
        return (this.words[Math.floor(bitIndex / WORD_BITS)]! & (1 << (bitIndex % WORD_BITS))) !== 0;
    }

    private mark(sequence: number): void {
        const bitIndex = sequence % WINDOW_SIZE;
        this.words[Math.floor(bitIndex / WORD_BITS)]! |= 1 << (bitIndex % WORD_BITS);
    }
}

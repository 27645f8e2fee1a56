import type { TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import { exceeds, isSame, larger, smaller, underLimit } from "./Amounts.js";

/** What a slice may spend of its grant under the limit of now. */
export function ceilingOf(escrow: TeamEscrow, limit: TeamAllotment): TeamAllotment {
    const granted = underLimit(escrow.granted, escrow.limit, limit);
    return escrow.target ? smaller(granted, escrow.target) : granted;
}

/** Lowers a grant as far as committed work allows; undefined when nothing can be given back now. */
export function lowerEscrow(
    escrow: TeamEscrow,
    limit: TeamAllotment,
    committed: TeamAllotment
): TeamEscrow | undefined {
    const ceiling = ceilingOf(escrow, limit);
    const granted = smaller(escrow.granted, larger(ceiling, committed));
    if (!exceeds(escrow.granted, granted)) {
        return undefined;
    }
    const isRemaining = exceeds(granted, ceiling);
    const isLimitLowered = !isSame(underLimit(escrow.granted, escrow.limit, limit), escrow.granted);
    if (isRemaining && isLimitLowered) {
        return undefined;
    }
    return { granted, ...(isRemaining ? { target: ceiling } : {}), limit: smaller(escrow.limit, limit) };
}

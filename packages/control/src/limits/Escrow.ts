import type { TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import { exceeds, isSameAmount, maxAmounts, minAmounts, scaleToLimit } from "./Amounts.js";

/** What a slice may spend of its grant under the limit of now. */
export function spendableOf(escrow: TeamEscrow, limit: TeamAllotment): TeamAllotment {
    const granted = scaleToLimit(escrow.granted, escrow.limit, limit);
    return escrow.target ? minAmounts(granted, escrow.target) : granted;
}

/** Lowers a grant as far as committed work allows; undefined when nothing can be given back now. */
export function lowerEscrow(
    escrow: TeamEscrow,
    limit: TeamAllotment,
    committed: TeamAllotment
): TeamEscrow | undefined {
    const spendable = spendableOf(escrow, limit);
    const granted = minAmounts(escrow.granted, maxAmounts(spendable, committed));
    if (!exceeds(escrow.granted, granted)) {
        return undefined;
    }
    const isPartial = exceeds(granted, spendable);
    const isLimitLowered = !isSameAmount(scaleToLimit(escrow.granted, escrow.limit, limit), escrow.granted);
    if (isPartial && isLimitLowered) {
        return undefined;
    }
    return { granted, ...(isPartial ? { target: spendable } : {}), limit: minAmounts(escrow.limit, limit) };
}

import type { TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import { exceeds, isSameAmount, maxAmounts, minAmounts, scaleToLimit } from "./Amounts.js";

/** Part of a grant that a slice may spend: the grant scaled to the current limit, at most its target. */
export function spendableOf(escrow: TeamEscrow, limit: TeamAllotment): TeamAllotment {
    const granted = scaleToLimit(escrow.granted, escrow.limit, limit);
    return escrow.target ? minAmounts(granted, escrow.target) : granted;
}

/**
 * Lowers a grant to the spendable part, or to the committed work where that is more. Returns undefined when nothing can
 * be lowered now, or when the limit was lowered since the grant and the committed work exceeds the spendable part.
 */
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

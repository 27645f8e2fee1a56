import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";
import type { TeamAccount } from "./TeamAccount.js";
import { TeamLine } from "./TeamLine.js";

/** Teams with work to place in one priority class, least served first. */
export class PriorityLine {
    private readonly lines = new Map<TeamAccount, TeamLine>();
    private readonly ready = new IndexedHeap<TeamLine>((left, right) =>
        left.team.weightedShare < right.team.weightedShare
    );

    /** Returns the least served team that has work to place. */
    public peek(): TeamLine | undefined {
        return this.ready.peek();
    }

    /** Adds a group that has waiting tasks. */
    public add(group: GroupState): void {
        let line = this.lines.get(group.team);
        if (line === undefined) {
            line = new TeamLine(group.team, this);
            this.lines.set(group.team, line);
        }
        line.add(group);
    }

    /** Removes a group. */
    public remove(group: GroupState): void {
        this.lines.get(group.team)?.remove(group);
    }

    /** Takes a team into the order when it has work to place, and out of it when not. */
    public refresh(line: TeamLine): void {
        if (line.peek() === undefined) {
            this.ready.remove(line);
        }
        else if (line.heapIndex === NOT_IN_HEAP) {
            this.ready.push(line);
        }
    }

    /** Restores the order after the usage of a team changed. */
    public teamChanged(team: TeamAccount): void {
        const line = this.lines.get(team);
        if (line !== undefined) {
            this.ready.update(line);
        }
    }

    /** Restores the order after the usage of all teams changed. */
    public allTeamsChanged(): void {
        this.ready.updateAll();
    }
}

import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { OperatorsText, TeamDefinition } from "@skylarkpath/common/model/OperatorsText";
import { scaleResources } from "@skylarkpath/common/model/Resources";
import type { TeamPolicy } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ConfigController } from "../config/ConfigController.js";

/** Share and allotment of each team in one slice. */
export type SlicePolicies = ReadonlyMap<string, TeamPolicy>;

/** Knows what each slice may spend of the teams' upper limits. */
export class AllotmentController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<void>());

    /** Tells that allotments have changed. */
    public readonly onChange = this.changeEmitter.event;

    constructor(private readonly config: ConfigController) {
        this.store.add(config.onChange(() => this.changeEmitter.fire()));
    }

    /** Returns the share and the allotment of each team in a slice. */
    public policiesOf(sliceId: string): SlicePolicies {
        const text = this.config.current?.parsed;
        if (!text?.failureDomains.some(domain => domain.name === sliceId)) {
            return new Map();
        }
        return new Map(text.teams.map(team => [team.name, policyOf(team, text)]));
    }

    public dispose(): void {
        this.store.dispose();
    }
}

function policyOf(team: TeamDefinition, text: OperatorsText): TeamPolicy {
    const part = 1 / text.failureDomains.length;
    const allotment = {
        resources: scaleResources(team.limit.resources, part),
        slots: Math.floor(team.limit.slots * part)
    };
    return { share: team.share, allotment };
}

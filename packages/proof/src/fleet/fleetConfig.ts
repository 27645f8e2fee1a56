import type { FleetConfig, QueueConfig, TeamConfig } from "@skylarkpath/fleet/model/FleetConfig";

/** Changes to the default configuration; a second queue and a second team differ from the first ones as given. */
export interface ConfigChange {
    readonly queue?: Partial<QueueConfig>;
    readonly team?: Partial<TeamConfig>;
    readonly otherQueue?: Partial<QueueConfig>;
    readonly otherTeam?: Partial<TeamConfig>;
}

/** Key of the first team. */
export const TEAM_KEY = "key-of-lab";
/** Prefix of the paths of the first queue. */
export const QUEUE_PATH_PREFIX = "/jobs/";
/** Host of the queues. */
export const HOST = "lab.example";
/** Attempts of each task. */
export const MAX_ATTEMPTS = 3;

/** Creates the configuration of a deployment: one queue, one pool and one team without a limit, with these changes. */
export function createConfig(version: number, change: ConfigChange): FleetConfig {
    const queue: QueueConfig = {
        name: "jobs",
        host: HOST,
        pathPrefix: QUEUE_PATH_PREFIX,
        pool: "pool",
        priority: 1,
        maximumAttempts: MAX_ATTEMPTS,
        stretchFactor: 2,
        targetLatencyMs: 1000,
        open: false,
        ...change.queue
    };
    const team: TeamConfig = {
        name: "lab",
        keys: [TEAM_KEY],
        share: 100,
        limit: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
        ...change.team
    };
    const { otherQueue, otherTeam } = change;
    const queues = otherQueue ? [queue, { ...queue, ...otherQueue }] : [queue];
    const pools = new Set(queues.map(({ pool }) => pool));
    return {
        version,
        queues,
        pools: [...pools].map(name => ({ name, refusesOverload: false, standby: false })),
        teams: otherTeam ? [team, { ...team, ...otherTeam }] : [team],
        maximumBodyBytes: 100_000
    };
}

/** Servers and requests of the simulated fleet of `rolloutFleet.ts`. */

/** Answer of a server: its time and status. */
export interface ServerAnswer {
    readonly ms: number;
    readonly status?: number;
}

/** A request that reached a server. */
export interface ServedRequest {
    readonly node: number;
    readonly version: string;
    readonly server: string;
    readonly route: string;
    readonly at: number;
    /** True when the answer counts against the version. */
    readonly isBad: boolean;
    readonly answersAt: number;
    isOpen: boolean;
}

/** What a server knows when it answers: its own requests under way, this one included. */
export interface ServerLoad {
    readonly server: string;
    readonly version: string;
    readonly route: string;
    readonly at: number;
    readonly underWay: number;
    readonly random: number;
}

export interface RolloutFleetOptions {
    readonly nodes?: number;
    readonly seed?: number;
    readonly oldServers?: number;
    readonly newServers?: number;
    /** Requests a second, by route. */
    readonly rates?: Readonly<Record<string, number>>;
    /** Answers of the servers; without a result, as a sound version. */
    readonly answer?: (load: ServerLoad) => ServerAnswer | undefined;
}

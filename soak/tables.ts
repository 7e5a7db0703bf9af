/** Tables of one soak run: processes, servers, requests, faults and findings. */
import type { ChildProcess } from "node:child_process";
import type { CallerAnswer } from "../standins/platformCaller";
import type { PlatformServer } from "../standins/platformServer";
import type { PlatformStore } from "../standins/platformStore";
import type { Proxy } from "./proxy";

/** One run of the program on one VM. */
export interface SoakNode {
    readonly vm: string;
    readonly callers: string;
    readonly settingsFile: string;
    /** Between the process and the store. */
    readonly storeProxy: Proxy;
    child: ChildProcess;
    /** Counts the runs of the program on this VM. */
    run: number;
    /** Set while a fault stops, kills or pauses the process. */
    isDisturbed: boolean;
    log: string;
}

export interface SoakServer {
    readonly server: PlatformServer;
    readonly proxy: Proxy;
    /** Version of the weights that the store shows; 0 before the first registration. */
    registeredVersion: number;
}

export type RequestKind = "review" | "reply" | "issue" | "lookup" | "probe";

export interface SoakRequest {
    readonly attempt: string;
    readonly kind: RequestKind;
    readonly node: SoakNode;
    readonly run: number;
    readonly sentAt: number;
    /** Version of the configuration that added the route of a probe. */
    readonly version: number;
    readonly key: string;
    /** True when the process was stopped, killed or paused at some time of the request. */
    isDisturbed: boolean;
    answer: CallerAnswer | undefined;
    endedAt: number | undefined;
}

export interface SoakFault {
    readonly kind: string;
    readonly startsAt: number;
    readonly endsAt: number;
    /** Chooses the process or server that the fault is about. */
    readonly pick: number;
    state: "waiting" | "running" | "over";
    /** Undoes the fault. */
    end: () => void;
}

export interface SoakWorld {
    readonly seed: number;
    readonly random: () => number;
    readonly store: PlatformStore;
    readonly nodes: SoakNode[];
    readonly engines: readonly SoakServer[];
    readonly services: readonly SoakServer[];
    readonly requests: SoakRequest[];
    readonly faults: SoakFault[];
    /** What broke a promise, each once. */
    readonly findings: Set<string>;
    /** Version of the configuration that the operator wrote last. */
    version: number;
    /** Time at which the second key was withdrawn; undefined while it is valid. */
    withdrawnAt: number | undefined;
    startedAt: number;
    readonly lengthMs: number;
}

/** Key that is withdrawn during some runs. */
export const secondKey = "second-key-of-the-shop";

/** Milliseconds since the start of the run. */
export const getSoakTime = (world: SoakWorld): number => performance.now() - world.startedAt;

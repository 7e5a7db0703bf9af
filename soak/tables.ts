/** Tables of one soak run: processes, servers, requests, faults and violations. */
import type { ChildProcess } from "node:child_process";
import type { CallerAnswer } from "../standins/platformCaller";
import type { PlatformServer } from "../standins/platformServer";
import type { PlatformStore } from "../standins/platformStore";
import type { Proxy } from "./proxy";

/** Router process of one VM, which faults may restart. */
export interface SoakRouter {
    readonly vm: string;
    /** IP:PORT for callers. */
    readonly callerAddress: string;
    readonly settingsFile: string;
    /** Proxy between the process and the store. */
    readonly storeProxy: Proxy;
    child: ChildProcess;
    /** Counts the starts of the process on this VM. */
    runNumber: number;
    /** True while a fault stops, kills or pauses the process. */
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
    readonly router: SoakRouter;
    /** Run of the process that the request was sent to. */
    readonly runNumber: number;
    readonly sentAt: number;
    /** Version of the configuration that added the route of a probe. */
    readonly configurationVersion: number;
    readonly key: string;
    /** True for a prompt with the part under which engines end while a fault makes them. */
    readonly hasCrashingPart: boolean;
    /** True when the process was stopped, killed or paused during the request. */
    isDisturbed: boolean;
    answer: CallerAnswer | undefined;
    endedAt: number | undefined;
}

export interface SoakFault {
    readonly kind: string;
    readonly startsAt: number;
    readonly endsAt: number;
    /** Random number in [0, 1) that selects the process or server of the fault. */
    readonly selector: number;
    state: "waiting" | "running" | "over";
    /** Undoes the fault. */
    end: () => void;
}

export interface SoakWorld {
    readonly seed: number;
    readonly random: () => number;
    readonly store: PlatformStore;
    readonly routers: SoakRouter[];
    readonly engines: readonly SoakServer[];
    readonly services: readonly SoakServer[];
    readonly requests: SoakRequest[];
    readonly faults: SoakFault[];
    /** Descriptions of the guarantees that were violated, without duplicates. */
    readonly violations: Set<string>;
    /** Routes of the configuration that get no requests. */
    idleRouteCount: number;
    /** Version of the last configuration in the store. */
    configurationVersion: number;
    /** Times at which configurations were written. */
    readonly versionTimes: Map<number, number>;
    /** Accounts that the last configuration isolates. */
    isolatedAccounts: readonly AccountName[];
    /** Times at which other accounts were isolated than before, in order. */
    readonly isolations: { readonly at: number; readonly accounts: readonly AccountName[]; }[];
    /** Time at which the second key was withdrawn; undefined while it is valid. */
    withdrawnAt: number | undefined;
    startedAt: number;
    readonly durationMs: number;
}

/** Prompt part under which engines end during some faults. */
export const crashingPart = "bad1";

/** Accounts of the callers. */
export const accountNames = ["shop", "press"] as const;
export type AccountName = (typeof accountNames)[number];

/** Key of the second account. */
export const pressKey = "key-of-the-press";

/** Key that is withdrawn during some runs. */
export const secondKey = "second-key-of-the-shop";

/** Milliseconds since the start of the run. */
export const getSoakTime = (world: SoakWorld): number => performance.now() - world.startedAt;

/** Commands of operators and their answers, independent of the wire format. */
import type { ConfigurationDocument, Fault } from "./config/document";
import type { AccountId, ConfigVersion, DataCentreId, Incarnation, KeyHash, RequestId, TargetId, VmId } from "./ids";

export type OperatorCommand =
    | { readonly kind: "getConfiguration"; readonly key: KeyHash | undefined; }
    | {
        readonly kind: "putConfiguration";
        readonly key: KeyHash | undefined;
        readonly document: unknown;
        /** Version the document was edited from; the active version when absent. */
        readonly expected?: ConfigVersion;
        readonly note: string;
    }
    | { readonly kind: "listHistory"; readonly key: KeyHash | undefined; }
    | {
        readonly kind: "grantKey";
        readonly key: KeyHash | undefined;
        readonly hash: KeyHash;
        readonly account: AccountId;
        readonly label: string;
    }
    | {
        readonly kind: "withdrawKey";
        readonly key: KeyHash | undefined;
        /** Hash of the key, a prefix of the hash with at least 8 digits, or the label of the key. */
        readonly name: string;
    }
    | { readonly kind: "getStatus"; readonly key: KeyHash | undefined; }
    | { readonly kind: "explainRequest"; readonly key: KeyHash | undefined; readonly request: RequestId; };

type ChangeKind = "putConfiguration" | "grantKey" | "withdrawKey";
/** Commands that change the configuration. */
export type ChangeCommand = Extract<OperatorCommand, { readonly kind: ChangeKind; }>;
/** Commands that only read. */
export type QueryCommand = Exclude<OperatorCommand, ChangeCommand>;

export interface HistoryEntry {
    readonly version: ConfigVersion;
    readonly at: string;
    readonly operator: string;
    readonly note: string;
    readonly changed: readonly string[];
}

/** State of one process, as shown by `status`. */
export interface NodeStatus {
    readonly vm: VmId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    readonly state: "starting" | "live" | "draining" | "stopped";
    readonly configVersion: ConfigVersion;
    /** Time since the store last confirmed the version to this VM or a peer. */
    readonly confirmedAgeMs?: number;
    readonly freshness: "fresh" | "store_outage" | "isolated" | "unknown";
    readonly storeReachable: boolean;
    readonly members: readonly {
        readonly vm: VmId;
        readonly state: string;
        /** Time since the member's latest digest; absent when none was received. */
        readonly heardAgeMs?: number;
        readonly configVersion: ConfigVersion;
    }[];
    readonly targets: readonly {
        readonly target: TargetId;
        readonly state: string;
        readonly model?: string;
        readonly version?: string;
        readonly inFlight: number;
        readonly reportAgeMs?: number;
    }[];
    readonly rates: readonly {
        readonly account: AccountId;
        readonly owner: boolean;
        readonly available: number;
        readonly reserved: number;
    }[];
    readonly requests: { readonly waiting: number; readonly running: number; };
}

/** Candidate target of a routing decision. */
export interface CandidateScore {
    readonly target: TargetId;
    readonly scoreMs: number;
    readonly waitMs: number;
    readonly missedTokens: number;
    readonly hitTokens: number;
}

/** Routing decisions and reservations of a request, as shown by `explain`. */
export interface RequestExplanation {
    readonly request: RequestId;
    readonly account?: AccountId;
    readonly route?: string;
    readonly state: string;
    readonly reservedTokens: number;
    readonly promptTokens: number;
    /** Tokens of the request by their source: `floor`, `grant` or `bucket`. */
    readonly reservations: readonly { readonly source: string; readonly open: number; readonly spent: number; }[];
    readonly retries: number;
    readonly decisions: readonly {
        readonly attempt: number;
        readonly chosen: TargetId;
        readonly candidates: readonly CandidateScore[];
    }[];
    readonly attempts: readonly { readonly target: TargetId; readonly outcome: string; }[];
    readonly refusal?: string;
}

export type OperatorAnswer =
    | { readonly kind: "configuration"; readonly version: ConfigVersion; readonly document: ConfigurationDocument; }
    | {
        readonly kind: "changed";
        readonly state: "accepted" | "committed";
        readonly version: ConfigVersion;
        readonly confirmed: number;
        readonly members: number;
    }
    | { readonly kind: "conflict"; readonly version: ConfigVersion; }
    | { readonly kind: "invalid"; readonly faults: readonly Fault[]; }
    | { readonly kind: "history"; readonly entries: readonly HistoryEntry[]; }
    | { readonly kind: "status"; readonly status: NodeStatus; }
    | { readonly kind: "explanation"; readonly explanation: RequestExplanation; }
    | { readonly kind: "unauthorized"; }
    | { readonly kind: "not_found"; readonly message: string; }
    /** `effect: "unknown"`: the change may have been made; `getConfiguration` shows whether it was. */
    | { readonly kind: "unavailable"; readonly effect: "none" | "unknown"; readonly message: string; };

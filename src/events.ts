/** Events: what adapters observed. Systems read them in the tick that follows. */
import type { Result } from "ts-results";
import type {
    AccountId,
    CallId,
    ConfigVersion,
    GrantId,
    Incarnation,
    KeyHash,
    Millis,
    OrderId,
    RequestId,
    TargetId,
    VmId,
} from "./ids";
import { createKindBatch } from "./kindBatch";
import type { OperatorCommand } from "./operators";
import type { PeerAnswer, PeerRequest } from "./peers";
import type { AnswerRecord, AttemptFailure, RequestArrival, Usage } from "./requests";
import type { StoreChange, StoreOutcome } from "./store";
import type { CacheEvent, OrderOutcome, TargetReport } from "./targets";

/** Says which decision a store call belongs to, so that its outcome reaches the right system. */
export type StorePurpose =
    | { readonly for: "configurationHead"; readonly step: "load" | "confirm"; }
    | { readonly for: "configurationChanges"; readonly above: ConfigVersion; }
    | { readonly for: "configurationWrite"; readonly call: CallId; readonly step: "read" | "commit"; }
    | { readonly for: "configurationHistory"; readonly call: CallId; }
    | { readonly for: "lease"; readonly lease: "member" | "slot"; readonly step: "grant" | "renew" | "revoke"; }
    | { readonly for: "member"; readonly step: "register" | "list"; }
    | { readonly for: "owner"; readonly account: AccountId; readonly step: "acquire" | "release"; }
    | { readonly for: "slot"; readonly slot: number; readonly step: "list" | "acquire" | "release"; }
    | {
        readonly for: "claim";
        readonly request: RequestId;
        readonly step: "create" | "readBack" | "finish" | "release";
    }
    | { readonly for: "claimSweep"; }
    | { readonly for: "placement"; readonly step: "acquire" | "release"; };

export type WatchName = "configuration" | "members";

/** Sequence numbers of the reports that travelled with a call, by grant. */
export type SentReports = readonly { readonly grant: GrantId; readonly sequence: number; }[];

/** Says which decision a call to a peer belongs to. */
export type PeerPurpose =
    | { readonly for: "exchange"; readonly askedAt: Millis; }
    | { readonly for: "grant"; readonly account: AccountId; readonly askedAt: Millis; readonly reports: SentReports; }
    | { readonly for: "grantReturn"; readonly account: AccountId; readonly reports: SentReports; }
    | { readonly for: "pull"; }
    | { readonly for: "push"; readonly vm: VmId; readonly version: ConfigVersion; };

export interface VmListEntry {
    readonly id: VmId;
    readonly address: string;
    readonly dataCentre: string;
    readonly state: "live" | "leaving";
}

export type Event =
    /* callers */
    | { readonly kind: "requestArrived"; readonly arrival: RequestArrival; }
    | { readonly kind: "callerGone"; readonly request: RequestId; }
    /** The whole answer was handed to the caller's socket. */
    | { readonly kind: "answerDelivered"; readonly request: RequestId; }
    | { readonly kind: "entriesAsked"; readonly call: CallId; readonly keyHash: KeyHash | undefined; }
    | { readonly kind: "modelsAsked"; readonly call: CallId; readonly keyHash: KeyHash | undefined; }
    /* attempts */
    | {
        readonly kind: "attemptBytesHanded";
        readonly request: RequestId;
        readonly attempt: number;
    }
    | {
        readonly kind: "attemptAnswered";
        readonly request: RequestId;
        readonly attempt: number;
        readonly status: number;
        /** The target's contract says that this answer was given before running. */
        readonly refusedBeforeRun: boolean;
        /** Present for an answer that was read whole, absent for a stream that is still open. */
        readonly whole?: {
            readonly usage?: Usage;
            /** Present when the answer is small enough to be recorded with an idempotency claim. */
            readonly record?: AnswerRecord;
        };
    }
    | {
        readonly kind: "attemptFirstToken";
        readonly request: RequestId;
        readonly attempt: number;
        /** Present when the engine reports usage with each event of the stream. */
        readonly usage?: Usage;
    }
    | {
        readonly kind: "attemptProgressed";
        readonly request: RequestId;
        readonly attempt: number;
        /** Tokens generated since the last such event. */
        readonly tokens: number;
    }
    | {
        readonly kind: "attemptFinished";
        readonly request: RequestId;
        readonly attempt: number;
        readonly usage?: Usage;
    }
    | {
        readonly kind: "attemptFailed";
        readonly request: RequestId;
        readonly attempt: number;
        readonly failure: AttemptFailure;
        /** Id of the last stream event that was relayed to the caller; 0 when none was. */
        readonly lastEventId: number;
    }
    /* targets */
    | { readonly kind: "targetReported"; readonly target: TargetId; readonly report: TargetReport; }
    | { readonly kind: "targetUnreachable"; readonly target: TargetId; }
    | {
        readonly kind: "cacheEventsReceived";
        readonly target: TargetId;
        readonly incarnation: Incarnation;
        readonly events: readonly CacheEvent[];
    }
    | { readonly kind: "cacheEventsClosed"; readonly target: TargetId; }
    | {
        readonly kind: "orderAnswered";
        readonly target: TargetId;
        readonly order: OrderId;
        readonly outcome: OrderOutcome;
    }
    /* platform */
    | { readonly kind: "storeReplied"; readonly purpose: StorePurpose; readonly outcome: StoreOutcome; }
    | {
        readonly kind: "watchDelivered";
        readonly watch: WatchName;
        readonly revision: number;
        readonly changes: readonly StoreChange[];
        /** Time since which the watch is known to be connected. */
        readonly heardAt: Millis;
    }
    | { readonly kind: "watchEnded"; readonly watch: WatchName; }
    | { readonly kind: "vmListRead"; readonly vms: readonly VmListEntry[]; }
    /* peers */
    | { readonly kind: "peerAsked"; readonly call: CallId; readonly request: PeerRequest; }
    | {
        readonly kind: "peerReplied";
        readonly purpose: PeerPurpose;
        readonly address: string;
        readonly result: Result<PeerAnswer, { readonly message: string; }>;
    }
    /* operators */
    | {
        readonly kind: "operatorAsked";
        readonly call: CallId;
        readonly command: OperatorCommand;
        /** True when the caller sent the fleet secret in place of an operator key. */
        readonly holdsFleetSecret: boolean;
    }
    | { readonly kind: "drainAsked"; };

export type EventKind = Event["kind"];
export type EventOf<Kind extends EventKind> = Extract<Event, { readonly kind: Kind; }>;

/** The events of one tick, by kind, in the order of arrival within a kind. */
export interface EventBatch {
    list<Kind extends EventKind>(kind: Kind): readonly EventOf<Kind>[];
    /** Store replies for one purpose. */
    listStoreReplies<For extends StorePurpose["for"]>(
        purpose: For,
    ): readonly { readonly purpose: Extract<StorePurpose, { readonly for: For; }>; readonly outcome: StoreOutcome; }[];
    /** Peer replies for one purpose. */
    listPeerReplies<For extends PeerPurpose["for"]>(
        purpose: For,
    ): readonly (Omit<EventOf<"peerReplied">, "purpose"> & {
        readonly purpose: Extract<PeerPurpose, { readonly for: For; }>;
    })[];
}

/** Groups events by kind. */
export function createEventBatch(events: readonly Event[]): EventBatch {
    const { list } = createKindBatch(events);
    return {
        list,
        listStoreReplies: purpose => list("storeReplied").filter(event => event.purpose.for === purpose) as never,
        listPeerReplies: purpose => list("peerReplied").filter(event => event.purpose.for === purpose) as never,
    };
}

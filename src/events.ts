/** Events: observations of adapters, read by systems in the next tick. */
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

/** Purpose of a store call, by which the systems find the outcomes of their own calls. */
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

/** Sequence number of each grant report sent with a call. */
export type SentReports = readonly { readonly grant: GrantId; readonly sequence: number; }[];

/** Purpose of a call to a peer, by which the systems find the replies to their own calls. */
export type PeerPurpose =
    | { readonly for: "exchange"; readonly sentAt: Millis; }
    | { readonly for: "grant"; readonly account: AccountId; readonly sentAt: Millis; readonly reports: SentReports; }
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
    | { readonly kind: "callerDisconnected"; readonly request: RequestId; }
    /** The whole answer was written to the caller's socket. */
    | { readonly kind: "answerDelivered"; readonly request: RequestId; }
    | { readonly kind: "entriesRequested"; readonly call: CallId; readonly keyHash: KeyHash | undefined; }
    | { readonly kind: "modelsRequested"; readonly call: CallId; readonly keyHash: KeyHash | undefined; }
    /* attempts */
    /** The first byte of the request is about to be written to a connected socket. */
    | {
        readonly kind: "attemptWriteStarted";
        readonly request: RequestId;
        readonly attempt: number;
    }
    | {
        readonly kind: "attemptAnswered";
        readonly request: RequestId;
        readonly attempt: number;
        readonly status: number;
        /** True when the answer shows, by the target's protocol, that the request was refused without running. */
        readonly isRefusedBeforeRun: boolean;
        /** Present for a fully buffered answer, absent for an open stream. */
        readonly buffered?: {
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
        /** Tokens generated since the previous event of this kind. */
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
        /** Id of the last stream event relayed to the caller; 0 when none was relayed. */
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
        /** Time at which the changes were received. */
        readonly receivedAt: Millis;
    }
    | { readonly kind: "watchEnded"; readonly watch: WatchName; }
    | { readonly kind: "vmListRead"; readonly vms: readonly VmListEntry[]; }
    /* peers */
    | { readonly kind: "peerCallReceived"; readonly call: CallId; readonly request: PeerRequest; }
    | {
        readonly kind: "peerReplied";
        readonly purpose: PeerPurpose;
        readonly address: string;
        readonly result: Result<PeerAnswer, { readonly message: string; }>;
    }
    /* operators */
    | {
        readonly kind: "operatorCommandReceived";
        readonly call: CallId;
        readonly command: OperatorCommand;
        /** True when the operator sent the fleet secret instead of an operator key. */
        readonly hasFleetSecret: boolean;
    }
    | { readonly kind: "drainRequested"; };

export type EventKind = Event["kind"];
export type EventOf<Kind extends EventKind> = Extract<Event, { readonly kind: Kind; }>;

/** Events of one tick by kind, in the order of arrival within each kind. */
export interface EventBatch {
    list<Kind extends EventKind>(kind: Kind): readonly EventOf<Kind>[];
    /** Lists the outcomes of store calls with one purpose. */
    listStoreReplies<For extends StorePurpose["for"]>(
        purpose: For,
    ): readonly { readonly purpose: Extract<StorePurpose, { readonly for: For; }>; readonly outcome: StoreOutcome; }[];
    /** Lists the replies to peer calls with one purpose. */
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

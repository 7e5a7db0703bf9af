/** Events of the forwarding mode: what its adapters observed. Systems read them in the tick that follows. */
import type { Result } from "ts-results";
import type { AccountId, CallId, DataCentreId, Millis, ModelId, RequestId, TargetId, VmId } from "../ids";
import { createKindBatch, type KindBatch } from "../kindBatch";
import type { StoreOutcome } from "../store";
import type { TickOf } from "../world";
import type {
    AttemptFault,
    EngineReport,
    ForwardArrival,
    PartsReport,
    ResponseHeaderFields,
    WeightsOrderOutcome,
} from "./calls";
import type { ForwardDocument, RegisteredTarget } from "./document";
import type { Fingerprint, PartId, ServiceId, WeightsVersion } from "./ids";
import type { PeerState } from "./peers";
import type { KnownOrder } from "./policy/serviceRolloutRules";
import type { ConfigurationCopy, RelayedChanges, StoreItem, StorePosition } from "./storeChanges";

/** Purpose of a store call, by which its reply reaches the right system. */
export type ForwardStorePurpose =
    | { readonly for: "lease"; readonly step: "grant" | "renew" | "end"; }
    | { readonly for: "member"; }
    | { readonly for: "leadership"; readonly step: "claim" | "giveUp"; }
    | { readonly for: "order"; readonly target: TargetId; }
    | { readonly for: "quarantine"; readonly part: PartId; }
    | { readonly for: "surge"; readonly account: AccountId; }
    | { readonly for: "serviceRollout"; readonly service: ServiceId; };

/** A key of the store that a process of the fleet wrote; `value` is undefined for a deleted one. */
export interface FleetRow {
    readonly key: string;
    readonly value: string | undefined;
    /** Revision at which the key was created. */
    readonly createRevision: number;
    /** Revision of the last change of the key; absent where only the creation matters. */
    readonly revision?: number;
}

/** Order to move a service to another version of its servers, or its withdrawal. */
export interface ServiceOrderChange {
    readonly service: ServiceId;
    readonly known: KnownOrder;
    /** Why a malformed order cannot be decoded. */
    readonly reason?: string;
}

/** Registration of a target, or its removal. */
export interface TargetChange {
    /** Name under which the target registered in the store. */
    readonly name: string;
    /** Undefined when the registration was removed or cannot be decoded. */
    readonly target: RegisteredTarget | undefined;
}

export type StoreValueKind = "configuration" | "weights" | "target" | "serviceOrder" | "row";

/** Value of the store that could not be decoded. It may have been damaged on its way, or be malformed in the store. */
export interface UndecodableValue {
    readonly key: string;
    readonly kind: StoreValueKind;
    /** Revision of the value. */
    readonly revision: number;
    /** Length of the value as it was received. */
    readonly length: number;
    readonly fingerprint: Fingerprint;
}

/** Decoded keys of the store: all of them after a read, the changed ones after a watch call. */
export interface PublishedChanges {
    /** Undefined when the configuration did not change or cannot be decoded. */
    readonly document: ForwardDocument | undefined;
    /** Copy of the document for other processes; present whenever a platform has decoded the document. */
    readonly copy?: ConfigurationCopy | undefined;
    readonly weights: readonly { readonly model: ModelId; readonly version: WeightsVersion; }[];
    readonly targets: readonly TargetChange[];
    readonly serviceOrders: readonly ServiceOrderChange[];
    readonly rows: readonly FleetRow[];
    /** Values that could not be decoded. */
    readonly undecodable: readonly UndecodableValue[];
    /** The changes as the store sent them; empty after a read of the whole store. */
    readonly items: readonly StoreItem[];
    /** Position in the store's history up to which the changes reach. */
    readonly position: StorePosition;
}

/**
 * `read` is a read of the whole store, page by page; `watch` waits for changes after a position; `check` asks for a few
 * bytes after one of them has failed.
 */
export type StoreFeedCall = "read" | "watch" | "check";

/** `found` has the changes of the one key, also when its value cannot be decoded again. */
export type ValueReadOutcome =
    | { readonly kind: "found"; readonly changes: PublishedChanges; readonly revision: number; }
    | { readonly kind: "absent"; }
    | { readonly kind: "failed"; readonly message: string; };

/** `found` has the decoded configuration of another process. */
export type CopyOutcome =
    | { readonly kind: "found"; readonly changes: PublishedChanges; readonly packedLength: number; }
    | { readonly kind: "absent"; }
    | { readonly kind: "failed"; readonly message: string; };

/** How the store's answer came over the link. */
export interface StoreTransfer {
    readonly bytes: number;
    /** Milliseconds from the head of the answer to its end; for a read of several pages, their sum. */
    readonly ms: number;
}

export type ForwardEvent =
    /* callers */
    | { readonly kind: "requestArrived"; readonly arrival: ForwardArrival; }
    | { readonly kind: "callerDisconnected"; readonly request: RequestId; }
    | { readonly kind: "answerDelivered"; readonly request: RequestId; }
    | { readonly kind: "addressesRequested"; readonly call: CallId; readonly dataCentre: DataCentreId | undefined; }
    /* attempts */
    | { readonly kind: "attemptWriteStarted"; readonly request: RequestId; readonly attempt: number; }
    | {
        readonly kind: "attemptAnswered";
        readonly request: RequestId;
        readonly attempt: number;
        readonly status: number;
        readonly headerFields: ResponseHeaderFields;
        /** True for an open event stream, false for a response that was read whole. */
        readonly isOpenStream: boolean;
    }
    | { readonly kind: "attemptFirstEvent"; readonly request: RequestId; readonly attempt: number; }
    /** Nothing has arrived within the idle timeout of the attempt. The attempt goes on. */
    | { readonly kind: "attemptSilent"; readonly request: RequestId; readonly attempt: number; }
    /** Data has arrived again after an `attemptSilent` event. */
    | { readonly kind: "attemptContinued"; readonly request: RequestId; readonly attempt: number; }
    | { readonly kind: "attemptFinished"; readonly request: RequestId; readonly attempt: number; }
    | {
        readonly kind: "attemptFailed";
        readonly request: RequestId;
        readonly attempt: number;
        readonly fault: AttemptFault;
        /** Id of the last stream event that was relayed to the caller; 0 when none was. */
        readonly lastEventId: number;
    }
    /* targets */
    | {
        readonly kind: "engineReported";
        readonly target: TargetId;
        readonly report: Result<EngineReport, { readonly message: string; }>;
    }
    | {
        readonly kind: "orderAnswered";
        readonly target: TargetId;
        readonly version: WeightsVersion;
        readonly outcome: WeightsOrderOutcome;
    }
    /** Cache events of an engine or a part store since the last such report. */
    | { readonly kind: "partsReported"; readonly target: TargetId; readonly report: PartsReport; }
    /** A call for cache events failed. */
    | {
        readonly kind: "partsReadFailed";
        readonly target: TargetId;
        readonly message: string;
        /** No process listens at the address of the target. */
        readonly isConnectionRefused: boolean;
    }
    /* store */
    /** The whole store was read. The store's contents are known to be current as of `confirmedAt`. */
    | {
        readonly kind: "publishedRead";
        readonly changes: PublishedChanges;
        readonly confirmedAt: Millis;
        readonly transfer?: StoreTransfer;
    }
    /**
     * A watch call ended, with or without changes. `confirmedAt` is as in `publishedRead`. `reader` is defined when
     * another process passed the changes on.
     */
    | {
        readonly kind: "publishedChanged";
        readonly changes: PublishedChanges;
        readonly confirmedAt: Millis;
        /** Shortest time for which the store held the call before it answered that nothing had changed; 0 by default. */
        readonly heldMs?: number;
        readonly transfer?: StoreTransfer;
        readonly reader?: Pick<RelayedChanges, "reachableMs" | "rowsMayReturnMs">;
    }
    /** An answer of the store to a watch call has become large and goes on. Its changes are not known yet. */
    | { readonly kind: "largeAnswerStarted"; }
    /** A read or a watch call of the store failed. */
    | {
        readonly kind: "storeUnreachable";
        readonly call: StoreFeedCall;
        readonly message: string;
        readonly sentAt: Millis;
        /** Bytes of the answer that had arrived. */
        readonly receivedBytes: number;
    }
    /** The changes after a position are not asked for again; the whole store is read instead. */
    | {
        readonly kind: "storeChangesSkipped";
        readonly after: StorePosition;
        readonly reason: string;
        /** Bytes of the answer that had arrived. */
        readonly receivedBytes: number;
    }
    /** One value was read again. It was looked up after the effect that asked for it. */
    | { readonly kind: "valueRead"; readonly key: string; readonly outcome: ValueReadOutcome; }
    /** The process that passes the store's changes on gave no usable answer. */
    | { readonly kind: "relayFailed"; readonly vm: VmId; readonly message: string; }
    | { readonly kind: "storeReplied"; readonly purpose: ForwardStorePurpose; readonly outcome: StoreOutcome; }
    /* peers */
    | { readonly kind: "peerCallReceived"; readonly call: CallId; readonly state: PeerState; }
    /** Another process requests the store's changes after a position in its history. */
    | { readonly kind: "relayCallReceived"; readonly call: CallId; readonly after: StorePosition; }
    /** Another process asks for a configuration at a later position. */
    | { readonly kind: "copyCallReceived"; readonly call: CallId; readonly after: StorePosition; }
    /** The answer to a call for a newer configuration. */
    | { readonly kind: "copyReceived"; readonly vm: VmId; readonly outcome: CopyOutcome; }
    | {
        readonly kind: "peerReplied";
        readonly vm: VmId;
        readonly result: Result<PeerState, { readonly message: string; }>;
    }
    /* process */
    | { readonly kind: "drainRequested"; }
    | { readonly kind: "reloadRequested"; readonly outcome: string; };

export type ForwardEventKind = ForwardEvent["kind"];
export type ForwardEventOf<Kind extends ForwardEventKind> = Extract<ForwardEvent, { readonly kind: Kind; }>;
export type ForwardBatch = KindBatch<ForwardEvent>;
export type ForwardTick = TickOf<ForwardBatch>;

export const createForwardBatch = (events: readonly ForwardEvent[]): ForwardBatch => createKindBatch(events);

/** Events of the forwarding mode: what its adapters observed. */
import type { Result } from "ts-results";
import type { CallId, DataCentreId, Millis, ModelId, RequestId, TargetId, VmId } from "../ids";
import { createKindBatch, type KindBatch } from "../kindBatch";
import type { StoreOutcome } from "../store";
import type { TickOf } from "../world";
import type {
    AnswerFacts,
    AttemptFault,
    EngineReport,
    ForwardArrival,
    PartsReport,
    WeightsOrderOutcome,
} from "./calls";
import type { ForwardDocument, RegisteredTarget } from "./document";
import type { WeightsVersion } from "./ids";
import type { PeerState } from "./peers";

/** Says which decision a store call belongs to. */
export type ForwardStorePurpose =
    | { readonly for: "lease"; readonly step: "grant" | "renew" | "end"; }
    | { readonly for: "member"; }
    | { readonly for: "duty"; }
    | { readonly for: "order"; readonly target: TargetId; };

/** A row that a process of the fleet wrote; `value` is undefined for a deleted one. */
export interface FleetRow {
    readonly key: string;
    readonly value: string | undefined;
    /** Revision at which the row was created. */
    readonly createRevision: number;
}

/** Change of what is published: a published target with its key, or its removal. */
export interface TargetChange {
    /** Name of the target in the store. */
    readonly name: string;
    /** Undefined when the row was removed or cannot be read. */
    readonly target: RegisteredTarget | undefined;
}

export interface PublishedChanges {
    readonly document: ForwardDocument | undefined;
    readonly weights: readonly { readonly model: ModelId; readonly version: WeightsVersion; }[];
    readonly targets: readonly TargetChange[];
    readonly rows: readonly FleetRow[];
    /** Keys of rows whose values could not be read. */
    readonly unreadable: readonly string[];
    readonly revision: number;
}

export type ForwardEvent =
    /* callers */
    | { readonly kind: "requestArrived"; readonly arrival: ForwardArrival; }
    | { readonly kind: "callerGone"; readonly request: RequestId; }
    | { readonly kind: "answerDelivered"; readonly request: RequestId; }
    | { readonly kind: "addressesAsked"; readonly call: CallId; readonly dataCentre: DataCentreId | undefined; }
    /* attempts */
    | { readonly kind: "attemptBytesHanded"; readonly request: RequestId; readonly attempt: number; }
    | {
        readonly kind: "attemptAnswered";
        readonly request: RequestId;
        readonly attempt: number;
        readonly status: number;
        readonly facts: AnswerFacts;
        /** The answer is a stream that is still open; otherwise it was read whole. */
        readonly isOpenStream: boolean;
    }
    | { readonly kind: "attemptFirstEvent"; readonly request: RequestId; readonly attempt: number; }
    | { readonly kind: "attemptFinished"; readonly request: RequestId; readonly attempt: number; }
    | {
        readonly kind: "attemptFailed";
        readonly request: RequestId;
        readonly attempt: number;
        readonly fault: AttemptFault;
        /** Number of the last event that was relayed to the caller; 0 when none was. */
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
    /** What an engine or a store of parts says that it holds, since the last such event. */
    | { readonly kind: "partsReported"; readonly target: TargetId; readonly report: PartsReport; }
    | { readonly kind: "partsUnread"; readonly target: TargetId; readonly message: string; }
    /* store */
    /** Everything that is published, as of one revision. */
    | { readonly kind: "publishedRead"; readonly changes: PublishedChanges; readonly heardAt: Millis; }
    | { readonly kind: "publishedChanged"; readonly changes: PublishedChanges; readonly heardAt: Millis; }
    | { readonly kind: "storeSilent"; readonly message: string; }
    | { readonly kind: "storeReplied"; readonly purpose: ForwardStorePurpose; readonly outcome: StoreOutcome; }
    /* peers */
    | { readonly kind: "peerAsked"; readonly call: CallId; readonly state: PeerState; }
    | {
        readonly kind: "peerReplied";
        readonly vm: VmId;
        readonly result: Result<PeerState, { readonly message: string; }>;
    }
    /* process */
    | { readonly kind: "drainAsked"; }
    | { readonly kind: "reloadAsked"; readonly outcome: string; };

export type ForwardEventKind = ForwardEvent["kind"];
export type ForwardEventOf<Kind extends ForwardEventKind> = Extract<ForwardEvent, { readonly kind: Kind; }>;
export type ForwardBatch = KindBatch<ForwardEvent>;
export type ForwardTick = TickOf<ForwardBatch>;

export const createForwardBatch = (events: readonly ForwardEvent[]): ForwardBatch => createKindBatch(events);

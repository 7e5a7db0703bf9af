/** Effects of the forwarding mode: what its systems request from the adapters. */
import type { EffectOf, EffectQueue, HandlersOf } from "../effects";
import type { CallId, Millis, RequestId, TargetId, VmId } from "../ids";
import type { Refusal } from "../refusals";
import type { StoreCall } from "../store";
import type { ForwardCall, WeightsOrder } from "./calls";
import type { CallerLimits } from "./document";
import type { ForwardStorePurpose } from "./events";
import type { ServerVersion, ServiceId } from "./ids";
import type { PeerState } from "./peers";
import type { ServiceRolloutState } from "./policy/serviceRolloutRules";
import type { CopyAnswer, RelayAnswer, StorePosition } from "./storeChanges";

export type ForwardEffect =
    /* callers */
    | { readonly kind: "refuseRequest"; readonly request: RequestId; readonly refusal: Refusal; }
    /** Relays the response of the attempt to the caller. */
    | { readonly kind: "relayAnswer"; readonly request: RequestId; readonly attempt: number; }
    /** Ends a response in the middle, so that its caller can tell. */
    | { readonly kind: "interruptAnswer"; readonly request: RequestId; }
    /** Releases the request's body, its response and what is left of its attempt. */
    | { readonly kind: "releaseRequest"; readonly request: RequestId; }
    | { readonly kind: "answerAddresses"; readonly call: CallId; readonly addresses: readonly string[]; }
    | { readonly kind: "applyLimits"; readonly limits: CallerLimits; }
    | { readonly kind: "updateReadiness"; readonly isReady: boolean; readonly isClosing: boolean; }
    /* attempts */
    | {
        readonly kind: "sendRequest";
        readonly request: RequestId;
        readonly attempt: number;
        readonly call: ForwardCall;
    }
    | { readonly kind: "cancelAttempt"; readonly request: RequestId; readonly attempt: number; }
    /**
     * Ends the attempt with an `attemptFailed` event of this fault, whose last event id lets another target resume the
     * stream.
     */
    | {
        readonly kind: "moveAttempt";
        readonly request: RequestId;
        readonly attempt: number;
        readonly fault: "moved" | "silent";
    }
    /** Closes the idle connections to the target. */
    | { readonly kind: "closeTarget"; readonly target: TargetId; }
    /* engines */
    | { readonly kind: "readEngine"; readonly target: TargetId; readonly address: string; readonly instance: string; }
    /** Requests the cache events of an engine or a part store from number `since` on. */
    | {
        readonly kind: "followParts";
        readonly target: TargetId;
        readonly address: string;
        readonly since: number;
    }
    | {
        readonly kind: "orderWeights";
        readonly target: TargetId;
        readonly address: string;
        readonly instance: string;
        readonly order: WeightsOrder;
        /** The order is not sent from this time on, when the sender's lease may have expired. */
        readonly expiresAt: Millis;
    }
    /* store */
    | { readonly kind: "callStore"; readonly purpose: ForwardStorePurpose; readonly call: StoreCall; }
    /** Writes the row of a service rollout and, in the same transaction, its status for the operators. */
    | {
        readonly kind: "recordServiceRollout";
        readonly service: ServiceId;
        readonly key: string;
        readonly value: string;
        /** Revision of the row that is replaced; 0 for none. With another one, nothing is written. */
        readonly expectedRevision: number;
        readonly state: ServiceRolloutState;
        readonly to: ServerVersion;
    }
    /** Reads one value of the store; the outcome is posted as `valueRead`. */
    | { readonly kind: "readValue"; readonly key: string; }
    /** Ends a read of a value that is no longer needed, so that it leaves the link. */
    | { readonly kind: "cancelValueRead"; readonly key: string; }
    /** Sets where changes of the store come from, and the timing of watch calls. */
    | {
        readonly kind: "updateStoreSource";
        /** Process that passes changes on; undefined to watch the store. */
        readonly relay: { readonly vm: VmId; readonly address: string; } | undefined;
        /** Pause between two watch calls that deliver changes. */
        readonly pauseMs: number;
        /** Longest time from one delivery of changes to the end of the next watch call, including the pause. */
        readonly cycleMs: number;
        /** Time beyond its wait time after which a watch call has failed. */
        readonly marginMs: number;
    }
    /* peers */
    | { readonly kind: "callPeer"; readonly vm: VmId; readonly address: string; readonly state: PeerState; }
    | { readonly kind: "answerPeer"; readonly call: CallId; readonly state: PeerState; }
    | { readonly kind: "answerRelayCall"; readonly call: CallId; readonly answer: RelayAnswer; }
    /** Asks another process for a configuration after the position; the outcome is posted as `copyReceived`. */
    | {
        readonly kind: "requestCopy";
        readonly vm: VmId;
        readonly address: string;
        readonly after: StorePosition;
    }
    | { readonly kind: "answerCopyCall"; readonly call: CallId; readonly answer: CopyAnswer; }
    /* process */
    | EffectOf<"writeLog">
    | EffectOf<"addCount">
    | EffectOf<"recordValue">
    | EffectOf<"updateGauge">
    | { readonly kind: "closeListeners"; }
    | { readonly kind: "exitProcess"; readonly code: number; };

export type ForwardEffectOf<Kind extends ForwardEffect["kind"]> = Extract<ForwardEffect, { readonly kind: Kind; }>;
export type ForwardEffectQueue = EffectQueue<ForwardEffect>;
export type ForwardHandlers = HandlersOf<ForwardEffect>;

/** Effects of the forwarding mode: what its systems ask the adapters to do. */
import type { EffectOf, EffectQueue, HandlersOf } from "../effects";
import type { CallId, Millis, RequestId, TargetId, VmId } from "../ids";
import type { Refusal } from "../refusals";
import type { StoreCall } from "../store";
import type { ForwardCall, WeightsOrder } from "./calls";
import type { CallerLimits } from "./document";
import type { ForwardStorePurpose } from "./events";
import type { PeerState } from "./peers";

export type ForwardEffect =
    /* callers */
    | { readonly kind: "refuseRequest"; readonly request: RequestId; readonly refusal: Refusal; }
    /** Relays the answer of the attempt to the caller. */
    | { readonly kind: "relayAnswer"; readonly request: RequestId; readonly attempt: number; }
    /** Breaks off an answer that has begun. */
    | { readonly kind: "interruptAnswer"; readonly request: RequestId; }
    | { readonly kind: "forgetRequest"; readonly request: RequestId; }
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
    /** Ends the call of the attempt and reports the last event that was relayed. */
    | { readonly kind: "moveAttempt"; readonly request: RequestId; readonly attempt: number; }
    | { readonly kind: "closeTarget"; readonly target: TargetId; }
    /* engines */
    | { readonly kind: "readEngine"; readonly target: TargetId; readonly address: string; readonly instance: string; }
    /** Asks what an engine or a store of parts has stored and dropped since event `since`. */
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
        /** The order is dropped from this time on: the holder's lease is no longer certain. */
        readonly notAfter: Millis;
    }
    /* store */
    | { readonly kind: "callStore"; readonly purpose: ForwardStorePurpose; readonly call: StoreCall; }
    /** Pause in milliseconds between two deliveries of changes; each delivery costs the fleet a call for each process. */
    | { readonly kind: "paceStore"; readonly pauseMs: number; }
    /* peers */
    | { readonly kind: "askPeer"; readonly vm: VmId; readonly address: string; readonly state: PeerState; }
    | { readonly kind: "answerPeer"; readonly call: CallId; readonly state: PeerState; }
    /* process */
    | EffectOf<"writeLog">
    | EffectOf<"addCount">
    | EffectOf<"recordValue">
    | { readonly kind: "closeListeners"; }
    | { readonly kind: "exitProcess"; readonly code: number; };

export type ForwardEffectOf<Kind extends ForwardEffect["kind"]> = Extract<ForwardEffect, { readonly kind: Kind; }>;
export type ForwardEffectQueue = EffectQueue<ForwardEffect>;
export type ForwardHandlers = HandlersOf<ForwardEffect>;

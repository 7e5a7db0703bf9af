/** Effects: actions that systems request from adapters. Their outcomes arrive as events. */
import type { PeerPurpose, StorePurpose, WatchName } from "./events";
import type { CallId, Incarnation, Millis, RequestId, TargetId } from "./ids";
import type { OperatorAnswer } from "./operators";
import type { PeerAnswer, PeerRequest } from "./peers";
import type { Refusal } from "./refusals";
import type { AnswerRecord, TargetCall } from "./requests";
import type { StoreCall } from "./store";
import type { EngineOrder } from "./targets";

/** Prefix of a log line, naming the component that wrote it. */
export type LogPrefix =
    | "config:"
    | "member:"
    | "target:"
    | "admit:"
    | "rate:"
    | "claim:"
    | "route:"
    | "stream:"
    | "place:"
    | "peer:"
    | "drain:"
    | "store:"
    | "quarantine:"
    | "version:"
    | "clients:";

export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>;

/** Names of the metrics that systems record. Each ends with its unit, or with `total` for a count. */
export type CounterName =
    | "requests_total"
    | "refusals_total"
    | "attempts_total"
    | "retries_total"
    | "prompt_tokens_total"
    | "cached_tokens_total"
    | "generated_tokens_total"
    | "store_failures_total"
    | "store_received_bytes_total"
    | "grants_total"
    | "orders_total"
    | "engine_crashes_total"
    | "quarantines_total"
    | "requests_without_row_total"
    | "internal_failures_total"
    | "interrupted_responses_total"
    | "unframed_ends_total"
    | "waits_total"
    | "answered_uploads_closed_total"
    | "shared_scope_changes_total"
    | "service_rollout_states_total"
    | "canary_requests_total"
    | "clients_outside_limits_total";
export type HistogramName =
    | "engine_queue_ms"
    | "first_token_ms"
    | "queue_ms"
    | "request_ms"
    | "store_transfer_ms"
    | "write_delay_ms";

/** Names of the levels that systems report; each update replaces the value. */
export type GaugeName =
    /** Bytes of request bodies that targets have answered and not read yet. */
    | "answered_upload_bytes"
    /** Version of the configuration in force; 0 before the first one. */
    | "configuration_version"
    /** 1 while a newer configuration than that in force is known to exist, else 0. */
    | "configuration_behind"
    /** Accounts that share no cached parts, by the configuration in force. */
    | "isolated_accounts"
    /** Calls to the store that have failed one after the other; 0 while it answers. */
    | "store_failures_in_a_row"
    /** Values of the store that could not be decoded and are read again. */
    | "undecodable_values";

export type Effect =
    /* callers */
    | { readonly kind: "refuseRequest"; readonly request: RequestId; readonly refusal: Refusal; }
    | {
        readonly kind: "answerCaller";
        readonly call: CallId;
        readonly status: number;
        readonly body: unknown;
    }
    /** Replays a recorded answer of a finished request. */
    | { readonly kind: "replayAnswer"; readonly request: RequestId; readonly answer: AnswerRecord; }
    /** Starts to relay the answer of the attempt to the caller. */
    | { readonly kind: "relayAnswer"; readonly request: RequestId; readonly attempt: number; }
    /** Ends a partially sent answer: a stream with an error event, any other answer by closing the connection. */
    | { readonly kind: "interruptAnswer"; readonly request: RequestId; readonly refusal: Refusal; }
    /** Releases the request's body and attempt in the adapters; nothing more will be sent for the request. */
    | { readonly kind: "releaseRequest"; readonly request: RequestId; }
    /* attempts */
    | {
        readonly kind: "sendRequest";
        readonly request: RequestId;
        readonly attempt: number;
        readonly call: TargetCall;
    }
    | {
        readonly kind: "resumeStream";
        readonly request: RequestId;
        readonly attempt: number;
        readonly address: string;
        readonly lastEventId: number;
    }
    | { readonly kind: "cancelAttempt"; readonly request: RequestId; readonly attempt: number; }
    /* targets */
    | { readonly kind: "readTarget"; readonly target: TargetId; readonly address: string; }
    | {
        readonly kind: "followCacheEvents";
        readonly target: TargetId;
        readonly address: string;
        readonly incarnation: Incarnation;
        readonly after: number;
    }
    | { readonly kind: "stopCacheEvents"; readonly target: TargetId; }
    | {
        readonly kind: "sendOrder";
        readonly target: TargetId;
        readonly address: string;
        readonly order: EngineOrder;
        readonly timeoutMs: number;
        /** The order is not sent from this time on, when the sender's lease may have expired. */
        readonly expiresAt: Millis;
    }
    /* platform */
    | { readonly kind: "callStore"; readonly purpose: StorePurpose; readonly call: StoreCall; }
    | {
        readonly kind: "openWatch";
        readonly watch: WatchName;
        readonly key: string;
        readonly prefix: boolean;
        readonly fromRevision: number;
    }
    | { readonly kind: "closeWatch"; readonly watch: WatchName; }
    | { readonly kind: "readVmList"; }
    /* peers */
    | {
        readonly kind: "callPeer";
        readonly purpose: PeerPurpose;
        readonly address: string;
        readonly request: PeerRequest;
    }
    | { readonly kind: "answerPeer"; readonly call: CallId; readonly answer: PeerAnswer; }
    /* operators */
    | { readonly kind: "answerOperator"; readonly call: CallId; readonly answer: OperatorAnswer; }
    /* process */
    | {
        readonly kind: "writeLog";
        readonly level: "info" | "warn" | "error";
        readonly prefix: LogPrefix;
        readonly message: string;
        readonly fields: LogFields;
    }
    | {
        readonly kind: "addCount";
        readonly name: CounterName;
        readonly value: number;
        readonly labels: Readonly<Record<string, string>>;
    }
    | { readonly kind: "recordValue"; readonly name: HistogramName; readonly value: number; }
    | { readonly kind: "updateGauge"; readonly name: GaugeName; readonly value: number; }
    | { readonly kind: "closeListeners"; }
    | { readonly kind: "exitProcess"; readonly code: number; };

export type EffectKind = Effect["kind"];
export type EffectOf<Kind extends EffectKind> = Extract<Effect, { readonly kind: Kind; }>;

/** Value with a `kind` by which a lookup table selects its handler. */
export interface WithKind {
    readonly kind: string;
}

/** Lookup table with one handler for each kind of effect. */
export type HandlersOf<AnyEffect extends WithKind> = {
    readonly [Kind in AnyEffect["kind"]]: (effect: Extract<AnyEffect, { readonly kind: Kind; }>) => void;
};

/** Handlers that the adapters provide. */
export type EffectHandlers = HandlersOf<Effect>;

/** Effects appended by systems in the current tick. */
export interface EffectQueue<AnyEffect extends WithKind = Effect> {
    append(effect: AnyEffect): void;
    /** Removes and returns all effects in order. */
    takeAll(): readonly AnyEffect[];
}

/** Creates an empty effect queue. */
export function createEffectQueue<AnyEffect extends WithKind = Effect>(): EffectQueue<AnyEffect> {
    let effects: AnyEffect[] = [];
    return {
        append: effect => {
            effects.push(effect);
        },
        takeAll: () => {
            const taken = effects;
            effects = [];
            return taken;
        },
    };
}

/** Effect queue that accepts log lines. */
export interface LogQueue {
    append(effect: EffectOf<"writeLog">): void;
}

/** Appends a log line. */
export function logInfo(effects: LogQueue, prefix: LogPrefix, message: string, fields: LogFields = {}): void {
    effects.append({ kind: "writeLog", level: "info", prefix, message, fields });
}

/** Appends a log line about a condition that an operator should examine. */
export function logWarning(effects: LogQueue, prefix: LogPrefix, message: string, fields: LogFields = {}): void {
    effects.append({ kind: "writeLog", level: "warn", prefix, message, fields });
}

/** Passes each effect to its handler, in order. An error of a handler is passed to `handleError` and ends no other effect. */
export function runEffects<AnyEffect extends WithKind>(
    effects: readonly AnyEffect[],
    handlers: HandlersOf<AnyEffect>,
    handleError: (error: unknown, effect: AnyEffect) => void,
): void {
    for (const effect of effects) {
        try {
            (handlers[effect.kind as AnyEffect["kind"]] as (effect: AnyEffect) => void)(effect);
        }
        catch (error) {
            handleError(error, effect);
        }
    }
}

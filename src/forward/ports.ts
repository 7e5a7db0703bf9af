/** Interfaces that a platform provides to the forwarding mode. Adapters outside `src` implement them. */
import type { ClientBounds } from "../adapters/clientBounds";
import type { Clock, FailureReporter } from "../runner";
import type { HeaderCodec } from "./calls";
import type { ForwardEffectOf } from "./effects";
import type { ForwardEvent } from "./events";
import type { CopyAnswer, RelayAnswer, StorePosition } from "./storeChanges";

export interface StorePort {
    /** Starts to read and watch the store; its contents and failures are posted as events. */
    start(): void;
    call(effect: ForwardEffectOf<"callStore">): void;
    /** Writes a service rollout; the reply is posted as `storeReplied`. */
    recordServiceRollout(effect: ForwardEffectOf<"recordServiceRollout">): void;
    updateSource(effect: ForwardEffectOf<"updateStoreSource">): void;
    readValue(effect: ForwardEffectOf<"readValue">): void;
    cancelValueRead(effect: ForwardEffectOf<"cancelValueRead">): void;
    requestCopy(effect: ForwardEffectOf<"requestCopy">): void;
    close(): void;
}

export interface EnginePort {
    read(effect: ForwardEffectOf<"readEngine">): void;
    order(effect: ForwardEffectOf<"orderWeights">): void;
    followParts(effect: ForwardEffectOf<"followParts">): void;
    close(): void;
}

export interface DirectoryPort {
    start(): Promise<void>;
    answer(effect: ForwardEffectOf<"answerAddresses">): void;
    close(): void;
}

export interface PortOptions {
    readonly clock: Clock;
    readonly post: (event: ForwardEvent) => void;
    /** Receives unexpected errors that a port has contained; the default throws them again. */
    readonly reportFailure?: FailureReporter;
}

/** Requests the store's changes after a position from another process; rejects when it gives no usable answer. */
export type RequestChanges = (address: string, after: StorePosition) => Promise<RelayAnswer>;

/** Requests a configuration after a position from another process; rejects when it gives no usable answer. */
export type RequestCopy = (address: string, after: StorePosition) => Promise<CopyAnswer>;

/** Behaviour that a term of the platform can ask for. */
export interface AgreedBehaviour {
    /** Engines fail when they are sent more than they can hold, so requests are admitted by their slots. */
    readonly admitsBySlots: boolean;
}

export interface PlatformPorts {
    readonly headers: HeaderCodec;
    decodeAgreements(names: readonly string[]): AgreedBehaviour;
    createStore(
        options: PortOptions & {
            readonly address: string;
            readonly timeoutMs: number;
            readonly requestChanges: RequestChanges;
            readonly requestCopy: RequestCopy;
        },
    ): StorePort;
    createEngines(options: PortOptions): EnginePort;
    createDirectory(
        options: PortOptions & {
            readonly directoryAddress: string;
            readonly readinessAddress: string;
            readonly keepSeconds: number;
            readonly isReady: () => boolean;
            readonly clients: ClientBounds;
        },
    ): DirectoryPort;
}

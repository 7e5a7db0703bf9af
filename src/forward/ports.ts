/** Interfaces that a platform provides to the forwarding mode. Adapters outside `src` implement them. */
import type { Clock } from "../runner";
import type { HeaderCodec } from "./calls";
import type { ForwardEffectOf } from "./effects";
import type { ForwardEvent } from "./events";

export interface StorePort {
    /** Starts to read and watch the store; its contents and failures are posted as events. */
    start(): void;
    call(effect: ForwardEffectOf<"callStore">): void;
    /** Sets the pause between two watch calls that deliver changes. */
    updatePause(effect: ForwardEffectOf<"updateStorePause">): void;
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
}

export interface PlatformPorts {
    readonly headers: HeaderCodec;
    createStore(options: PortOptions & { readonly address: string; readonly timeoutMs: number; }): StorePort;
    createEngines(options: PortOptions): EnginePort;
    createDirectory(
        options: PortOptions & {
            readonly directoryAddress: string;
            readonly readinessAddress: string;
            readonly keepSeconds: number;
            readonly isReady: () => boolean;
        },
    ): DirectoryPort;
}

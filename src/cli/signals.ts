/** Signals of the long-running commands, from the first moment on. Imported before everything else. */

export type SignalName = "SIGTERM" | "SIGINT" | "SIGHUP";

/** What signals come from; the process, or a stand-in in tests. */
export interface SignalSource {
    on(signal: SignalName, handler: () => void): unknown;
}

export interface SignalInbox {
    /** Calls the handlers for the signals that have come, in their order, and for those to come. */
    subscribe(handlers: Readonly<Record<SignalName, () => void>>): void;
}

const signalNames: readonly SignalName[] = ["SIGTERM", "SIGINT", "SIGHUP"];

/**
 * Creates an inbox. Without a handler each of these signals ends a process at once, also while it loads its code or
 * opens its listeners.
 */
export function createSignalInbox(source: SignalSource): SignalInbox {
    const pending: SignalName[] = [];
    let handlers: Readonly<Record<SignalName, () => void>> | undefined;
    for (const name of signalNames) {
        source.on(name, () => {
            if (handlers) {
                handlers[name]();
            }
            else {
                pending.push(name);
            }
        });
    }
    return {
        subscribe: next => {
            handlers = next;
            for (const name of pending.splice(0)) {
                next[name]();
            }
        },
    };
}

let processSignals: SignalInbox | undefined;

/** The inbox of this process. */
export function getProcessSignals(): SignalInbox {
    processSignals ??= createSignalInbox(process);
    return processSignals;
}

/** Commands that run until a signal; the others end by it as usual. */
const longRunning = new Set(["serve", "forward"]);

if (longRunning.has(process.argv[2] ?? "")) {
    getProcessSignals();
}

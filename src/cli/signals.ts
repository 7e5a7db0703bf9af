/** Handles signals of the long-running commands from process start; must be imported before all other modules. */

export type SignalName = "SIGTERM" | "SIGINT" | "SIGHUP";

/** Source of signals: the process, or a fake one in tests. */
export interface SignalSource {
    on(signal: SignalName, handler: () => void): unknown;
}

export interface SignalQueue {
    /** Calls the handlers for signals received so far, in order of arrival, and for later ones. */
    subscribe(handlers: Readonly<Record<SignalName, () => void>>): void;
}

const signalNames: readonly SignalName[] = ["SIGTERM", "SIGINT", "SIGHUP"];

/**
 * Queues signals until handlers are subscribed. Without a handler, Node.js ends the process on any of these signals,
 * even while it loads modules or opens its listeners.
 */
export function createSignalQueue(source: SignalSource): SignalQueue {
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

let processSignals: SignalQueue | undefined;

/** Signals of this process. */
export function getProcessSignals(): SignalQueue {
    processSignals ??= createSignalQueue(process);
    return processSignals;
}

/** Commands that run until a signal; the other commands keep the default handling of signals. */
const longRunningCommands = new Set(["serve", "forward"]);

if (longRunningCommands.has(process.argv[2] ?? "")) {
    getProcessSignals();
}

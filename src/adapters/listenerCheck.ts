/** Finds out whether a process still listens at an address. */
import * as net from "node:net";
import { isConnectionRefused, parseAddress } from "./httpClient";
import { createListenerGuard } from "./listenerGuard";

export type ListenerState =
    /** A process accepted a connection and did not end with it. */
    | "listening"
    /** The host refused the connection, since no process listens. */
    | "refused"
    /** No answer arrived within the timeout. */
    | "unknown";

/**
 * Checks the listener at an address, in milliseconds of the options. A check never rejects.
 *
 * @example
 * const checkListener = createListenerCheck({ timeoutMs: 400 });
 * await checkListener("10.0.0.1:8080"); // "listening"
 */
export type ListenerCheck = (address: string) => Promise<ListenerState>;

export interface ListenerCheckOptions {
    /** Time after which the state is unknown; the default is 400 ms. */
    readonly timeoutMs?: number;
}

type ConnectionOutcome = ListenerState | "closed";

/**
 * Time for which an accepted connection has to stay open. The system of an ending process closes its sockets one after
 * the other, so its listener may accept for a moment after its connections have ended.
 */
const openMs = 20;

/** Opens one connection; "closed" when it was accepted and ended at once. */
function openOnce(address: string, timeoutMs: number): Promise<ConnectionOutcome> {
    return new Promise(resolve => {
        const socket = net.connect(parseAddress(address));
        const settle = (outcome: ConnectionOutcome): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(outcome);
        };
        let isAccepted = false;
        // Events that arrived while this process was busy are handled before its timers decide.
        const timer = setTimeout(() => setImmediate(settle, "unknown"), timeoutMs);
        const guard = createListenerGuard({
            part: "listenerCheck",
            end: () => undefined,
            reportFailure: () => {
                settle("unknown");
            },
        });
        const handleConnect = (): void => {
            isAccepted = true;
            setTimeout(() => setImmediate(settle, "listening"), openMs);
        };
        const handleError = (error: NodeJS.ErrnoException): void => {
            // A reset may arrive before the accepted connection is reported.
            if (isAccepted || error.code === "ECONNRESET") {
                settle("closed");
                return;
            }
            settle(isConnectionRefused(error) ? "refused" : "unknown");
        };
        const handleEnd = (): void => {
            settle("closed");
        };
        socket.on("connect", guard(handleConnect));
        socket.on("error", guard(handleError));
        socket.on("end", guard(handleEnd));
        socket.resume();
    });
}

/** A process that has reached its limit of connections also closes the one of a check, but not its listener. */
async function checkOnce(address: string, timeoutMs: number): Promise<ListenerState> {
    const first = await openOnce(address, timeoutMs);
    const second = first === "closed" ? await openOnce(address, timeoutMs) : first;
    return second === "closed" ? "listening" : second;
}

/** Checks of one address. */
interface AddressChecks {
    readonly running: Promise<ListenerState>;
    /** Starts when the running one ends; callers that come meanwhile share it. */
    next: Promise<ListenerState> | undefined;
}

/** Creates the check of a process. At most one connection to an address is open for it, whatever the number of callers. */
export function createListenerCheck({ timeoutMs = 400 }: ListenerCheckOptions = {}): ListenerCheck {
    const checks = new Map<string, AddressChecks>();

    function startCheck(address: string): Promise<ListenerState> {
        const running = checkOnce(address, timeoutMs).catch(() => "unknown" as const).then(state => {
            checks.delete(address);
            return state;
        });
        checks.set(address, { running, next: undefined });
        return running;
    }

    return address => {
        const current = checks.get(address);
        if (!current) {
            return startCheck(address);
        }
        // A running check may have been answered before the event that the caller asks about.
        current.next ??= current.running.then(() => startCheck(address));
        return current.next;
    };
}

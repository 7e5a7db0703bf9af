/** Contains unexpected errors of event listeners: an error ends only what its listener belongs to. */
import type { LogFields } from "../effects";
import type { FailureReporter } from "../runner";

/** What a listener belongs to, such as one attempt, one connection or one message. */
export interface ListenerOwner {
    /** Name of the adapter, for the log line and the count. */
    readonly part: string;
    /** Ids of the owner. */
    readonly fields?: LogFields;
    /** Ends the owner, so that nothing waits for it any longer. */
    readonly end: () => void;
    /** The default throws the error again, so that a test sees it. */
    readonly reportFailure?: FailureReporter | undefined;
}

/** Wraps a listener so that it does not throw. */
export type ListenerGuard = <Args extends readonly unknown[]>(
    listener: (...args: Args) => void,
) => (...args: Args) => void;

/** Throws the error of a failure for which there is no reporter. */
export const handleUnreportedFailure: FailureReporter = ({ error }) => {
    throw error;
};

/**
 * Creates the guard for the listeners of one owner. What a listener throws reaches no other listener and not the
 * handler of uncaught errors, which has to end the process.
 *
 * @example
 * const guard = createListenerGuard({ part: "storeClient", end: () => request.destroy(), reportFailure });
 * response.on("data", guard(handleChunk));
 */
export function createListenerGuard(
    { part, fields = {}, end, reportFailure = handleUnreportedFailure }: ListenerOwner,
): ListenerGuard {
    function handleError(error: unknown): void {
        reportFailure({ part, error, fields });
        try {
            end();
        }
        catch (endError) {
            reportFailure({ part, error: endError, fields });
        }
    }
    return listener => (...args) => {
        try {
            listener(...args);
        }
        catch (error) {
            handleError(error);
        }
    };
}

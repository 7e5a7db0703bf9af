/** Ends attempts, and sends their requests again where that is allowed. Shared by systems. */
import { hasRetry, reserveRetry } from "../../policy/retryBudget";
import type { AttemptFault } from "../calls";
import type { ForwardTick } from "../events";
import type { ForwardAttempt, ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";
import { refuseForwardRequest, removeInFlight } from "./requestEnd";

/** Maximum number of attempts for one request, including those that targets refuse without running it. */
const maxAttempts = 4;
/** Maximum number of attempts for a stream of which the caller has received some events. */
const maxResumeAttempts = 8;
/** Retry delay sent to a caller whose request was refused because all targets are busy. */
const busyRetryAfterSeconds = 0.3;

/** Outcome of an attempt whose connection was refused. */
const refusedConnection: AttemptFault = "connection_refused";

export function closeAttempt(
    world: ForwardWorld,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
    outcome: string,
): void {
    attempt.isOpen = false;
    attempt.outcome = outcome;
    removeInFlight(world, row);
    world.effects.append({ kind: "cancelAttempt", request: row.id, attempt: attempt.number });
}

const computePossibleRuns = (row: ForwardRequestRow): number =>
    row.attempts.filter(attempt => attempt.evidence.hasWrittenBytes && attempt.evidence.answer !== "refused").length;

/** True when the request may be sent again: it cannot have run yet, or it may run more than once. */
export function isRepeatAllowed(tick: ForwardTick, row: ForwardRequestRow): boolean {
    const possibleRuns = computePossibleRuns(row);
    const isAllowed = possibleRuns === 0 || (row.isRepeatable && possibleRuns < row.route.maxTargets);
    // A refused connection reaches no target, and the target gets no further requests, so such attempts end by themselves.
    const attempts = row.attempts.filter(({ outcome }) => outcome !== refusedConnection);
    return isAllowed
        && attempts.length < (row.isRelaying ? maxResumeAttempts : maxAttempts)
        && tick.now < row.deadline;
}

/** True when the last attempt reached no target, so that the next one is no retry for the service. */
const isRepeatFree = (row: ForwardRequestRow): boolean => row.attempts.at(-1)?.outcome === refusedConnection;

/** True when the request may be sent again and the retry budget allows it. */
export function canRepeat(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): boolean {
    const budget = world.tables.retryBudgets.get(row.service);
    return isRepeatAllowed(tick, row) && (budget === undefined || isRepeatFree(row) || hasRetry(budget));
}

export function retryOrRefuse(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, outcome: string): void {
    if (row.isRelaying && isRepeatAllowed(tick, row)) {
        // The caller has some of the answer: it is better to wait for the retry budget than to interrupt the stream.
        if (!isRepeatFree(row)) {
            row.needsRetryReservation = !row.hasExtraRetryReserved;
            row.hasExtraRetryReserved = false;
        }
        requeueRequest(world, row, outcome);
        return;
    }
    if (!canRepeat(world, tick, row)) {
        const isNotRun = computePossibleRuns(row) === 0;
        refuseForwardRequest(world, tick, row, isNotRun ? "overloaded" : "target_failed", busyRetryAfterSeconds);
        return;
    }
    const budget = world.tables.retryBudgets.get(row.service);
    if (budget && !isRepeatFree(row)) {
        reserveRetry(budget);
    }
    requeueRequest(world, row, outcome);
}

export function requeueRequest(world: ForwardWorld, row: ForwardRequestRow, outcome: string): void {
    world.tables.requests.updateState(row, "queued");
    world.effects.append({ kind: "addCount", name: "retries_total", value: 1, labels: { outcome } });
}

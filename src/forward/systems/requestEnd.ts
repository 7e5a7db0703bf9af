/** Ends requests: refusals and interruptions, with updates of accounts and targets. Shared by systems. */
import { type LogFields, logInfo, logWarning } from "../../effects";
import { type RefusalCode, refusalKinds } from "../../refusals";
import { computeVerdict } from "../../verdict";
import type { ForwardTick } from "../events";
import { addUsage } from "../policy/usageWindow";
import type { ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";

/** True when the key of the request has been withdrawn since its arrival. */
export function isKeyWithdrawn(world: ForwardWorld, { accountId, arrival }: ForwardRequestRow): boolean {
    return accountId !== undefined
        && arrival.keyHash !== undefined
        && !world.tables.configuration.findAccount(arrival.keyHash);
}

/** Removes the request from those in flight on its last target. */
export function removeInFlight(world: ForwardWorld, row: ForwardRequestRow): void {
    const attempt = row.attempts.at(-1);
    if (attempt) {
        world.tables.targets.get(attempt.target)?.inFlight.delete(row.id);
    }
}

/** Refunds to the account the tokens of a request that did not run. */
function releaseTokens(world: ForwardWorld, row: ForwardRequestRow): void {
    const usage = row.accountId === undefined ? undefined : world.tables.usageWindows.rows.get(row.accountId);
    if (usage) {
        addUsage(usage, -row.tokens);
    }
}

/** Ends a request; it gets no further attempts. */
export function closeRequest(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): void {
    removeInFlight(world, row);
    if (computeVerdict(row.attempts.map(attempt => attempt.evidence)) === "not_run") {
        releaseTokens(world, row);
    }
    world.tables.requests.updateState(row, "done");
    world.effects.append({ kind: "releaseRequest", request: row.id });
    world.effects.append({ kind: "recordValue", name: "request_ms", value: tick.now - row.arrival.arrivedAt });
}

/** Cancels the open attempt, if any. */
export function cancelOpenAttempt(world: ForwardWorld, row: ForwardRequestRow, outcome: string): void {
    const last = row.attempts.at(-1);
    if (last?.isOpen) {
        last.isOpen = false;
        last.outcome = outcome;
        world.effects.append({ kind: "cancelAttempt", request: row.id, attempt: last.number });
    }
}

/**
 * Refuses a request, or interrupts its answer if the caller has some of it. A code with status 503 or 429, which says that the
 * request did not run, is replaced by `target_failed` if the request may have run.
 */
export function refuseForwardRequest(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    code: RefusalCode,
    retryAfterSeconds?: number,
    inputs: LogFields = {},
): void {
    cancelOpenAttempt(world, row, code);
    const verdict = computeVerdict(row.attempts.map(attempt => attempt.evidence));
    const isNotRunStatus = refusalKinds[code].status === 503 || refusalKinds[code].status === 429;
    const sentCode = verdict !== "not_run" && isNotRunStatus ? "target_failed" : code;
    if (row.hasFirstEvent) {
        world.effects.append({ kind: "interruptAnswer", request: row.id });
    }
    else {
        world.effects.append({
            kind: "refuseRequest",
            request: row.id,
            refusal: {
                code: sentCode,
                verdict,
                ...(retryAfterSeconds !== undefined && verdict === "not_run" ? { retryAfterSeconds } : {}),
            },
        });
    }
    const labels = { code: sentCode, verdict };
    world.effects.append({ kind: "addCount", name: "refusals_total", value: 1, labels });
    const last = row.attempts.at(-1);
    const write = sentCode === "caller_gone" ? logInfo : logWarning;
    write(world.effects, "admit:", row.hasFirstEvent ? "Answer was interrupted." : "Request was refused.", {
        request: row.id,
        route: row.route.id,
        account: row.accountId,
        code: sentCode,
        verdict,
        ageMs: Math.round(tick.now - row.arrival.arrivedAt),
        attempts: row.attempts.map(attempt => `${attempt.target} ${attempt.outcome}`),
        target: last?.target,
        lastEventId: row.lastEventId,
        retryAfterSeconds,
        ...inputs,
        version: world.tables.configuration.version,
    });
    closeRequest(world, tick, row);
}

/** How requests end: refusals, interruptions, what they leave at accounts and targets. */
import { logInfo, logWarning } from "../../effects";
import { type RefusalCode, refusalKinds } from "../../refusals";
import { computeVerdict } from "../../verdict";
import type { ForwardTick } from "../events";
import { addUsage } from "../policy/usageWindow";
import type { ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";

/** True when the key of the request has been withdrawn since the request came. */
export function isKeyWithdrawn(world: ForwardWorld, { accountId, arrival }: ForwardRequestRow): boolean {
    return accountId !== undefined
        && arrival.keyHash !== undefined
        && !world.tables.configuration.findAccount(arrival.keyHash);
}

/** Removes the request from the work of its last target. */
export function removeWork(world: ForwardWorld, row: ForwardRequestRow): void {
    const attempt = row.attempts.at(-1);
    if (attempt) {
        world.tables.targets.get(attempt.target)?.work.delete(row.id);
    }
}

/** Tokens of a request that did not run go back to the account. */
function releaseTokens(world: ForwardWorld, row: ForwardRequestRow): void {
    const usage = row.accountId === undefined ? undefined : world.tables.shares.rows.get(row.accountId);
    if (usage) {
        addUsage(usage, -row.tokens);
    }
}

/** Ends a request; nothing more is sent for it. */
export function closeRequest(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): void {
    removeWork(world, row);
    if (computeVerdict(row.attempts.map(attempt => attempt.evidence)) === "not_run") {
        releaseTokens(world, row);
    }
    world.tables.requests.updateState(row, "done");
    world.effects.append({ kind: "forgetRequest", request: row.id });
    world.effects.append({ kind: "recordValue", name: "request_ms", value: tick.now - row.arrival.arrivedAt });
}

/** Closes the attempt that is open, if any. */
export function cancelOpenAttempt(world: ForwardWorld, row: ForwardRequestRow, outcome: string): void {
    const last = row.attempts.at(-1);
    if (last?.isOpen) {
        last.isOpen = false;
        last.outcome = outcome;
        world.effects.append({ kind: "cancelAttempt", request: row.id, attempt: last.number });
    }
}

/**
 * Refuses a request, or breaks its answer off when it has begun. The code is replaced when the request may have run:
 * a 503 would promise that it did not.
 */
export function refuseForward(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    code: RefusalCode,
    retryAfterSeconds?: number,
): void {
    cancelOpenAttempt(world, row, code);
    const verdict = computeVerdict(row.attempts.map(attempt => attempt.evidence));
    const isPromise = refusalKinds[code].status === 503 || refusalKinds[code].status === 429;
    const trueCode = verdict !== "not_run" && isPromise ? "target_failed" : code;
    if (row.isRelaying) {
        world.effects.append({ kind: "interruptAnswer", request: row.id });
    }
    else {
        world.effects.append({
            kind: "refuseRequest",
            request: row.id,
            refusal: {
                code: trueCode,
                verdict,
                ...(retryAfterSeconds !== undefined && verdict === "not_run" ? { retryAfterSeconds } : {}),
            },
        });
    }
    const labels = { code: trueCode, verdict };
    world.effects.append({ kind: "addCount", name: "refusals_total", value: 1, labels });
    const last = row.attempts.at(-1);
    const write = trueCode === "caller_gone" ? logInfo : logWarning;
    write(world.effects, "admit:", row.isRelaying ? "Answer was broken off." : "Request was refused.", {
        request: row.id,
        route: row.route.id,
        account: row.accountId,
        code: trueCode,
        verdict,
        ageMs: Math.round(tick.now - row.arrival.arrivedAt),
        attempts: row.attempts.map(attempt => `${attempt.target} ${attempt.outcome}`),
        target: last?.target,
        lastEventId: row.lastEventId,
        version: world.tables.configuration.version,
    });
    closeRequest(world, tick, row);
}

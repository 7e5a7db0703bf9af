/** Ends requests: settles tokens, refuses requests, interrupts answers. Shared by the systems that end requests. */
import { logInfo } from "../effects";
import type { Refusal, RefusalCode } from "../refusals";
import type { RequestRow } from "../tables/requests";
import { computeVerdict, mergeVerdicts } from "../verdict";
import type { Tick, World } from "../world";
import { settleReservations } from "./tokenSources";

/** Removes the request from its target's requests in flight. */
export function removeInFlight(world: World, row: RequestRow): void {
    const attempt = row.attempts.at(-1);
    if (attempt) {
        world.tables.targets.get(attempt.target)?.inFlight.delete(row.id);
    }
}

/**
 * Ends a request and drops its body. If the usage is known, its unused tokens have already been returned. Otherwise
 * the target may have computed everything that was reserved, so tokens are returned only if the request did not run.
 */
export function closeRequest(world: World, row: RequestRow): void {
    removeInFlight(world, row);
    const verdict = computeVerdict(row.attempts.map(attempt => attempt.evidence));
    const spent = verdict === "not_run" ? 0 : row.promptTokens + row.maxTokens;
    settleReservations(world, row, { spent, isFinal: true });
    world.tables.requests.updateState(row, "done");
    world.effects.append({ kind: "releaseRequest", request: row.id });
}

/**
 * Derives the refusal of a request from its attempts. A verdict in the options comes from another request with the
 * same idempotency key; it can strengthen the verdict but never weaken it.
 */
export function buildRefusal(row: RequestRow, code: RefusalCode, options: Partial<Refusal> = {}): Refusal {
    const ownVerdict = computeVerdict(row.attempts.map(attempt => attempt.evidence));
    return { ...options, code, verdict: mergeVerdicts(ownVerdict, options.verdict ?? "not_run") };
}

/** Refuses a request, or interrupts its answer when the answer has begun. */
export function refuseRequest(world: World, row: RequestRow, code: RefusalCode, options: Partial<Refusal> = {}): void {
    const refusal = buildRefusal(row, code, options);
    row.refusal = refusal;
    const lastAttempt = row.attempts.at(-1);
    if (
        lastAttempt
        && (lastAttempt.state === "sent" || lastAttempt.state === "answered" || lastAttempt.state === "relaying")
    ) {
        lastAttempt.state = "failed";
        lastAttempt.outcome = code;
        world.effects.append({ kind: "cancelAttempt", request: row.id, attempt: lastAttempt.number });
    }
    world.effects.append({
        kind: row.isRelaying ? "interruptAnswer" : "refuseRequest",
        request: row.id,
        refusal,
    });
    world.effects.append({
        kind: "addCount",
        name: "refusals_total",
        value: 1,
        labels: { code, verdict: refusal.verdict },
    });
    logInfo(world.effects, "admit:", "Request refused.", {
        request: row.id,
        account: row.account,
        code,
        verdict: refusal.verdict,
    });
    closeRequest(world, row);
}

/** Records the end of an answered request. */
export function recordRequestEnd(world: World, tick: Tick, row: RequestRow): void {
    const attempt = row.attempts.at(-1);
    world.effects.append({ kind: "recordValue", name: "request_ms", value: tick.now - row.arrival.arrivedAt });
    if (attempt?.firstTokenAt !== undefined) {
        const firstTokenMs = attempt.firstTokenAt - row.arrival.arrivedAt;
        world.effects.append({ kind: "recordValue", name: "first_token_ms", value: firstTokenMs });
    }
}

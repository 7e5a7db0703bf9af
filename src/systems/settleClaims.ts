/** Settles claims whose request has ended: records the outcome in the store or deletes the claim. */
import { type ClaimEnd, formatClaimRecord, parseClaimRecord } from "../claims";
import { logInfo } from "../effects";
import type { StorePurpose } from "../events";
import { addMillis, type Millis, type RequestId } from "../ids";
import { toClaimDateKey } from "../policy/idempotency";
import type { StoreAnswer, StoreCall, StoreOutcome, StoreRow } from "../store";
import type { ClaimRow } from "../tables/claims";
import type { RequestRow } from "../tables/requests";
import { computeVerdict } from "../verdict";
import type { Tick, World } from "../world";

export type ClaimStep = Extract<StorePurpose, { readonly for: "claim"; }>["step"];

/** Time within which a creation whose answer was lost may still take effect. */
const maxCreationDelayMs = 10_000;
const minRetryMs = 500;
const maxRetryMs = 10_000;

/** State of a claim's row according to a store answer. */
export type ClaimView =
    | { readonly kind: "ours"; readonly revision: number; }
    | { readonly kind: "taken"; readonly row: StoreRow; }
    | { readonly kind: "absent"; }
    | { readonly kind: "unknown"; };

/** Sends a store call for a claim. */
export function sendClaimCall(world: World, claim: ClaimRow, step: ClaimStep, call: StoreCall): void {
    claim.isPending = true;
    world.effects.append({
        kind: "callStore",
        purpose: { for: "claim", request: claim.record.request, step },
        call,
    });
}

function findAnswerRow(answer: StoreAnswer): StoreRow | undefined {
    if (answer.kind === "rows") {
        return answer.rows[0];
    }
    return answer.kind === "transaction" ? answer.reads[0]?.[0] : undefined;
}

/** Reads an answer to `create` or `readBack` and updates the claim's `revision` and `mayExist`. */
export function readClaimView(claim: ClaimRow, step: ClaimStep, outcome: StoreOutcome): ClaimView {
    const { result } = outcome;
    if (result.err) {
        claim.mayExist ||= step === "create" && result.val.effect === "unknown";
        return { kind: "unknown" };
    }
    const row = findAnswerRow(result.val);
    if (!row) {
        return { kind: "absent" };
    }
    if (parseClaimRecord(row.value)?.request !== claim.record.request) {
        return { kind: "taken", row };
    }
    claim.revision = row.modRevision;
    claim.mayExist &&= claim.sentCreations > 1;
    return { kind: "ours", revision: row.modRevision };
}

export function sendReadBack(world: World, claim: ClaimRow): void {
    sendClaimCall(world, claim, "readBack", { kind: "range", range: { key: claim.id } });
}

function sendRelease(world: World, claim: ClaimRow): void {
    if (claim.revision === undefined) {
        sendReadBack(world, claim);
        return;
    }
    const dateKey = claim.keyTime === undefined ? [] : [toClaimDateKey(claim.id, claim.keyTime)];
    sendClaimCall(world, claim, "release", {
        kind: "transaction",
        compare: [{ key: claim.id, modRevision: claim.revision }],
        success: [claim.id, ...dateKey].map(key => ({ kind: "delete", key })),
    });
}

function sendFinish(world: World, claim: ClaimRow): void {
    const value = formatClaimRecord({ ...claim.record, ...(claim.end ? { end: claim.end } : {}) });
    sendClaimCall(world, claim, "finish", {
        kind: "transaction",
        // The request was sent, so the row is changed only by this write and by the sweep of expired claims.
        compare: [{ key: claim.id, modRevision: claim.revision ?? 0 }],
        success: [{ kind: "put", key: claim.id, value }],
    });
}

function sendSettlement(world: World, claim: ClaimRow): void {
    if (claim.isPending) {
        return;
    }
    if (claim.state === "finishing") {
        sendFinish(world, claim);
    }
    if (claim.state === "releasing") {
        sendRelease(world, claim);
    }
}

function scheduleRetry(world: World, tick: Tick, claim: ClaimRow): void {
    const waitMs = Math.min(maxRetryMs, minRetryMs * 2 ** Math.min(10, claim.failures));
    claim.failures += 1;
    const at = addMillis(tick.now, waitMs * (0.5 + world.random()));
    world.timers.schedule({ name: "claimRetry", at, key: claim.record.request });
}

/** Removes a claim that has no row in the store, unless a creation whose answer was lost may still take effect. */
function removeReleased(world: World, tick: Tick, claim: ClaimRow): void {
    const mayAppearUntil: Millis = addMillis(claim.lastCreationSentAt, maxCreationDelayMs);
    if (claim.mayExist && tick.now < mayAppearUntil) {
        claim.revision = undefined;
        scheduleRetry(world, tick, claim);
        return;
    }
    world.tables.claims.remove(claim);
    if (claim.revision !== undefined) {
        logInfo(world.effects, "claim:", "Claim released.", { request: claim.record.request });
    }
}

const releaseHandlers: {
    readonly [Kind in ClaimView["kind"]]: (world: World, tick: Tick, claim: ClaimRow) => void;
} = {
    ours: (world, _tick, claim) => {
        sendRelease(world, claim);
    },
    taken: removeReleased,
    absent: removeReleased,
    unknown: (world, tick, claim) => {
        (claim.mayExist || claim.revision !== undefined ? scheduleRetry : removeReleased)(world, tick, claim);
    },
};

/** Continues the release of a claim after the store's answer to a creation or a read. */
export function handleReleaseView(world: World, tick: Tick, claim: ClaimRow, view: ClaimView): void {
    releaseHandlers[view.kind](world, tick, claim);
}

/** Handles the store's answer to a release. A row with another revision no longer belongs to this claim. */
export function handleReleased(world: World, tick: Tick, claim: ClaimRow, { result }: StoreOutcome): void {
    (result.ok ? removeReleased : scheduleRetry)(world, tick, claim);
}

/** Handles the store's answer to the recording of an outcome. */
export function handleFinished(world: World, tick: Tick, claim: ClaimRow, { result }: StoreOutcome): void {
    if (result.err) {
        scheduleRetry(world, tick, claim);
        return;
    }
    world.tables.claims.remove(claim);
    logInfo(world.effects, "claim:", "Outcome of the claimed request recorded.", {
        request: claim.record.request,
        verdict: claim.end?.verdict,
        answerKept: claim.end?.answer !== undefined,
    });
}

function buildClaimEnd(claim: ClaimRow, row: RequestRow | undefined): ClaimEnd {
    // Without the request's row there is no evidence of whether it ran.
    const verdict = row ? computeVerdict(row.attempts.map(attempt => attempt.evidence)) : "may_have_run";
    const isAnswered = verdict === "ran" && row?.refusal === undefined;
    return { verdict, ...(isAnswered && claim.answer ? { answer: claim.answer } : {}) };
}

function settleClaim(world: World, tick: Tick, claim: ClaimRow, row: RequestRow | undefined): void {
    const hasSentBytes = claim.state === "held"
        && (!row || row.attempts.some(attempt => attempt.evidence.hasWrittenBytes));
    if (hasSentBytes) {
        claim.state = "finishing";
        claim.end = buildClaimEnd(claim, row);
        sendSettlement(world, claim);
        return;
    }
    claim.state = "releasing";
    if (!claim.isPending && claim.revision === undefined) {
        handleReleaseView(world, tick, claim, { kind: "unknown" });
        return;
    }
    sendSettlement(world, claim);
}

/** Settles the claims whose request has ended, and those whose retry is due. */
export function settleClaims(world: World, tick: Tick): void {
    const { claims, requests } = world.tables;
    for (const claim of claims.list()) {
        const row = requests.get(claim.record.request);
        const isOpen = claim.state !== "finishing" && claim.state !== "releasing";
        if (isOpen && (!row || row.state === "done")) {
            settleClaim(world, tick, claim, row);
        }
    }
    for (const request of tick.due.listKeys("claimRetry")) {
        const claim = claims.get(request as RequestId);
        if (claim) {
            sendSettlement(world, claim);
        }
    }
}

/**
 * Claims the idempotency key of each non-repeatable request in the store before the request is sent. A request is
 * queued only after the store has confirmed that the claim belongs to it. Claims of other requests are never taken
 * over.
 */
import { type ClaimRecord, formatClaimRecord, parseClaimRecord } from "../claims";
import { logInfo } from "../effects";
import { checkKeyAge, computeClaimId, type KeyAge, parseKeyTime, toClaimDateKey } from "../policy/idempotency";
import type { RefusalCode } from "../refusals";
import type { StoreOperation, StoreOutcome, StoreRow } from "../store";
import type { ClaimRow } from "../tables/claims";
import { findAttempt, type RequestRow } from "../tables/requests";
import type { Verdict } from "../verdict";
import type { Tick, World } from "../world";
import { closeRequest, recordRequestEnd, refuseRequest } from "./requestEnd";
import {
    type ClaimStep,
    type ClaimView,
    handleFinished,
    handleReleased,
    handleReleaseView,
    readClaimView,
    sendClaimCall,
    sendReadBack,
    settleClaims,
} from "./settleClaims";

/** Maximum number of attempts to create a claim. Another one is made when the store has no row for the key. */
const maxCreations = 3;
/** Maximum number of claims that wait for the store to confirm their settlement; bounds memory during an outage. */
const maxUnsettledClaims = 1024;

const ageRefusals: { readonly [Age in Extract<KeyAge, "expired" | "in_future">]: RefusalCode; } = {
    expired: "idempotency_key_expired",
    in_future: "idempotency_key_in_future",
};

/** Finds the refusal code for a key whose date is outside the accepted range. */
function findAgeRefusal(world: World, tick: Tick, keyTime: number | undefined): RefusalCode | undefined {
    const retentionMs = world.settings.claims.retentionHours * 3_600_000;
    const age = checkKeyAge(keyTime, { wallNow: tick.wallNow, retentionMs });
    return age === "expired" || age === "in_future" ? ageRefusals[age] : undefined;
}

function refuseUnavailable(world: World, row: RequestRow): void {
    refuseRequest(world, row, "store_unavailable", { retryAfterSeconds: 1 });
}

function sendCreation(world: World, tick: Tick, claim: ClaimRow): void {
    const range: StoreOperation = { kind: "range", range: { key: claim.id } };
    const puts: StoreOperation[] = [{ kind: "put", key: claim.id, value: formatClaimRecord(claim.record) }];
    if (claim.keyTime !== undefined) {
        puts.push({ kind: "put", key: toClaimDateKey(claim.id, claim.keyTime), value: "" });
    }
    claim.state = "creating";
    claim.sentCreations += 1;
    claim.lastCreationSentAt = tick.now;
    sendClaimCall(world, claim, "create", {
        kind: "transaction",
        compare: [{ key: claim.id, createRevision: 0 }],
        success: [...puts, range],
        failure: [range],
    });
}

function startClaim(world: World, tick: Tick, row: RequestRow): void {
    const { idempotencyKey, bodyHash } = row.arrival;
    if (idempotencyKey === undefined) {
        refuseRequest(world, row, "idempotency_key_missing");
        return;
    }
    const keyTime = parseKeyTime(idempotencyKey);
    const ageRefusal = findAgeRefusal(world, tick, keyTime);
    if (ageRefusal) {
        refuseRequest(world, row, ageRefusal);
        return;
    }
    if (world.tables.claims.countUnsettled() >= maxUnsettledClaims) {
        refuseUnavailable(world, row);
        return;
    }
    const claim: ClaimRow = {
        id: computeClaimId(row.account, idempotencyKey),
        record: { request: row.id, vm: world.settings.vm, route: row.routeId, bodyHash },
        keyTime,
        state: "creating",
        revision: undefined,
        sentCreations: 0,
        mayExist: false,
        lastCreationSentAt: tick.now,
        answer: undefined,
        end: undefined,
        isPending: false,
        failures: 0,
    };
    world.tables.claims.add(claim);
    row.claim = claim.id;
    sendCreation(world, tick, claim);
}

type HolderState = "in_progress" | Verdict;
type HolderHandler = (world: World, tick: Tick, row: RequestRow, holder: ClaimRecord | undefined) => void;

/** Handlers for a request whose key is claimed by another request with the same body, by that request's state. */
const holderHandlers: { readonly [State in HolderState]: HolderHandler; } = {
    in_progress: (world, _tick, row) => {
        refuseRequest(world, row, "idempotency_in_progress", { verdict: "may_have_run", retryAfterSeconds: 1 });
    },
    may_have_run: (world, _tick, row) => {
        refuseRequest(world, row, "idempotency_outcome_unknown", { verdict: "may_have_run" });
    },
    not_run: (world, _tick, row) => {
        refuseRequest(world, row, "idempotency_refused");
    },
    ran: (world, tick, row, holder) => {
        const answer = holder?.end?.answer;
        if (!answer) {
            refuseRequest(world, row, "idempotency_finished", { verdict: "ran" });
            return;
        }
        world.effects.append({ kind: "replayAnswer", request: row.id, answer });
        recordRequestEnd(world, tick, row);
        closeRequest(world, row);
    },
};

function answerFromHolder(world: World, tick: Tick, row: RequestRow, stored: StoreRow): void {
    const holder = parseClaimRecord(stored.value);
    const state = holder?.end?.verdict ?? "in_progress";
    logInfo(world.effects, "claim:", "Idempotency key is already claimed by another request.", {
        request: row.id,
        account: row.account,
        holder: holder?.request,
        state,
    });
    if (holder && (holder.bodyHash !== row.arrival.bodyHash || holder.route !== row.routeId)) {
        refuseRequest(world, row, "idempotency_key_reused");
        return;
    }
    holderHandlers[state](world, tick, row, holder);
}

function confirmClaim(world: World, tick: Tick, claim: ClaimRow, row: RequestRow): void {
    // Checked again because the key may have expired during the store call.
    const ageRefusal = findAgeRefusal(world, tick, claim.keyTime);
    if (ageRefusal) {
        refuseRequest(world, row, ageRefusal);
        return;
    }
    claim.state = "held";
    row.queuedAt = tick.now;
    world.tables.requests.updateState(row, "queued");
    logInfo(world.effects, "claim:", "Idempotency key claimed.", { request: row.id, account: row.account });
}

type ViewHandlers = {
    readonly [Kind in ClaimView["kind"]]: (
        world: World,
        tick: Tick,
        claim: ClaimRow,
        row: RequestRow,
        view: Extract<ClaimView, { readonly kind: Kind; }>,
    ) => void;
};

const viewHandlers: ViewHandlers = {
    ours: confirmClaim,
    taken: (world, tick, _claim, row, view) => {
        answerFromHolder(world, tick, row, view.row);
    },
    absent: (world, tick, claim, row) => {
        if (claim.sentCreations < maxCreations) {
            sendCreation(world, tick, claim);
        }
        else {
            refuseUnavailable(world, row);
        }
    },
    unknown: (world, _tick, claim, row) => {
        if (claim.state === "creating" && claim.mayExist) {
            claim.state = "readingBack";
            sendReadBack(world, claim);
        }
        else {
            refuseUnavailable(world, row);
        }
    },
};

function handleClaimView(world: World, tick: Tick, claim: ClaimRow, step: ClaimStep, outcome: StoreOutcome): void {
    const view = readClaimView(claim, step, outcome);
    const row = world.tables.requests.get(claim.record.request);
    if (claim.state === "releasing") {
        handleReleaseView(world, tick, claim, view);
    }
    else if (row?.state === "claiming") {
        (viewHandlers[view.kind] as (
            world: World,
            tick: Tick,
            claim: ClaimRow,
            row: RequestRow,
            view: ClaimView,
        ) => void)(world, tick, claim, row, view);
    }
}

const replyHandlers: {
    readonly [Step in ClaimStep]: (world: World, tick: Tick, claim: ClaimRow, outcome: StoreOutcome) => void;
} = {
    create: (world, tick, claim, outcome) => {
        handleClaimView(world, tick, claim, "create", outcome);
    },
    readBack: (world, tick, claim, outcome) => {
        handleClaimView(world, tick, claim, "readBack", outcome);
    },
    finish: handleFinished,
    release: handleReleased,
};

/** Keeps the answers of claimed requests, to record them in the store after the requests have ended. */
function recordAnswers(world: World, tick: Tick): void {
    const { claims, requests } = world.tables;
    for (const event of tick.events.list("attemptAnswered")) {
        const claim = claims.get(event.request);
        const row = claim && requests.get(event.request);
        if (claim && row && findAttempt(row, event.attempt)?.state === "finished") {
            claim.answer = event.buffered?.record;
        }
    }
}

/**
 * Reads: attempts of requests. Writes: requests, claims, targets and floors (at the end of requests).
 * Effects: store calls for claims, replayed answers, refusals, log lines.
 */
export function claimRequests(world: World, tick: Tick): void {
    const { claims, requests } = world.tables;
    recordAnswers(world, tick);
    settleClaims(world, tick);
    for (const { purpose, outcome } of tick.events.listStoreReplies("claim")) {
        const claim = claims.get(purpose.request);
        if (claim) {
            claim.isPending = false;
            replyHandlers[purpose.step](world, tick, claim, outcome);
        }
    }
    for (const row of requests.list("claiming")) {
        if (row.claim === undefined) {
            startClaim(world, tick, row);
        }
    }
    settleClaims(world, tick);
}

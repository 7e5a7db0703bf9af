/** Owner side of rate limiting: acquires buckets, answers grant requests of peers and settles their reports. */
import { logInfo } from "../effects";
import type { EventOf } from "../events";
import { type AccountId, addMillis, type CallId, type Millis, type VmId } from "../ids";
import type { GrantAnswer, GrantReport, GrantRequest, GrantReturn, OwnerAddress } from "../peers";
import { computeRefillWait, reserveFromBucket } from "../policy/bucket";
import { computeGrantSize } from "../policy/demand";
import { settleReport } from "../policy/settlement";
import type { BucketRow, IssuedGrant } from "../tables/buckets";
import { maxClockSpeedRatio } from "../tables/node";
import type { Tick, World } from "../world";
import {
    chooseOwner,
    endOwnership,
    findOwnedBucket,
    handleAcquisition,
    isOwnAddress,
    requestOwnership,
    sendAcquisitions,
} from "./ownership";

/** Upper bound of `retryAfterMs`; also sent for a request that can never be granted. */
const maxRetryAfterMs = 60_000;

function createIssuedGrant(row: BucketRow, options: Pick<IssuedGrant, "id" | "holder" | "expiresAt">): IssuedGrant {
    const grant: IssuedGrant = {
        ...options,
        outstanding: 0,
        sequence: 0,
        spent: 0,
        returned: 0,
        reserved: 0,
        reservedUntil: options.expiresAt,
        isCreditable: true,
    };
    row.grants.set(grant.id, grant);
    return grant;
}

/**
 * Settles reports of a holder. An unknown grant was issued by an earlier owner; the tokens that its holder still has
 * reserved count as outstanding here too.
 */
export function settleReports(row: BucketRow, holder: VmId, reports: readonly GrantReport[], now: Millis): void {
    for (const report of reports) {
        const issuedGrant = row.grants.get(report.grant);
        if (issuedGrant) {
            settleReport(row.bucket, issuedGrant, report, now);
        }
        else if (report.reserved > 0 && report.reservedForMs > 0) {
            settleReport(row.bucket, createIssuedGrant(row, { id: report.grant, holder, expiresAt: now }), report, now);
        }
    }
}

function countGrantAnswer(world: World, outcome: GrantAnswer["kind"]): void {
    world.effects.append({ kind: "addCount", name: "grants_total", value: 1, labels: { outcome } });
}

function grantFromBucket(world: World, tick: Tick, row: BucketRow, body: GrantRequest): GrantAnswer {
    const { bucket, fencingToken } = row;
    const ttlMs = world.settings.rates.grantTtlMs;
    const tokens = computeGrantSize({ ...body, level: bucket.level });
    if (tokens <= 0 || !reserveFromBucket(bucket, tokens)) {
        const waitMs = computeRefillWait(bucket, Math.max(1, body.atLeast)) ?? maxRetryAfterMs;
        const previousOwnerWaitMs = row.previousOwnerTokens > 0
            ? Math.max(0, row.previousOwnerTokensUntil - tick.now)
            : 0;
        return { kind: "empty", retryAfterMs: Math.min(maxRetryAfterMs, Math.ceil(waitMs + previousOwnerWaitMs)) };
    }
    const grant = createIssuedGrant(row, {
        id: world.tables.buckets.createGrantId(fencingToken),
        holder: body.vm,
        expiresAt: addMillis(tick.now, ttlMs * maxClockSpeedRatio),
    });
    grant.outstanding = tokens;
    return { kind: "granted", grant: grant.id, tokens, fencing: fencingToken, ttlMs };
}

function findOwner(world: World, tick: Tick, account: AccountId): OwnerAddress | undefined {
    const recordedOwner = world.tables.buckets.getOwnership(account).owner;
    const chosenOwner = chooseOwner(world, account, tick.now);
    const owner = chosenOwner && isOwnAddress(world, chosenOwner) ? recordedOwner : chosenOwner;
    return owner && isOwnAddress(world, owner) ? undefined : owner;
}

function answerRequest(world: World, tick: Tick, call: CallId, body: GrantRequest): void {
    const row = findOwnedBucket(world, body.account, tick.now);
    let answer: GrantAnswer;
    if (row) {
        settleReports(row, body.vm, body.reports, tick.now);
        answer = grantFromBucket(world, tick, row, body);
    }
    else {
        requestOwnership(world, body.account, tick.now);
        const owner = findOwner(world, tick, body.account);
        answer = owner ? { kind: "not_owner", owner } : { kind: "not_owner" };
    }
    countGrantAnswer(world, answer.kind);
    logInfo(world.effects, "rate:", "Grant request answered.", {
        account: body.account,
        vm: body.vm,
        outcome: answer.kind,
        wanted: body.tokens,
        tokens: answer.kind === "granted" ? answer.tokens : 0,
    });
    world.effects.append({ kind: "answerPeer", call, answer: { kind: "requestGrant", body: answer } });
}

function answerReturn(world: World, tick: Tick, call: CallId, body: GrantReturn): void {
    const row = findOwnedBucket(world, body.account, tick.now);
    if (row) {
        settleReports(row, body.vm, body.reports, tick.now);
    }
    const answer = { accepted: row !== undefined };
    world.effects.append({ kind: "answerPeer", call, answer: { kind: "returnGrant", body: answer } });
}

function answerPeer(world: World, tick: Tick, { call, request }: EventOf<"peerCallReceived">): void {
    if (
        request.kind === "requestGrant"
        && Object.hasOwn(world.tables.configuration.document.accounts, request.body.account)
    ) {
        answerRequest(world, tick, call, request.body);
    }
    else if (request.kind === "requestGrant") {
        world.effects.append({
            kind: "answerPeer",
            call,
            answer: { kind: "requestGrant", body: { kind: "not_owner" } },
        });
    }
    if (request.kind === "returnGrant") {
        answerReturn(world, tick, call, request.body);
    }
}

/**
 * Reads: configuration, members, node, requests. Writes: buckets, grants (own use of a bucket after ownership ended).
 * Effects: answers to peers, store calls for ownership, counts, log lines.
 */
export function grantTokens(world: World, tick: Tick): void {
    for (const row of world.tables.buckets.list()) {
        if (!findOwnedBucket(world, row.account, tick.now)) {
            endOwnership(world, row, tick.now);
        }
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("owner")) {
        if (purpose.step === "acquire") {
            handleAcquisition(world, tick, purpose.account, outcome);
        }
    }
    for (const event of tick.events.list("peerCallReceived")) {
        answerPeer(world, tick, event);
    }
    sendAcquisitions(world, tick);
}

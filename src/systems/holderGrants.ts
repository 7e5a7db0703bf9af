/** Holder side of rate limiting: requests grants from bucket owners, returns unused tokens and reports usage. */
import { logInfo } from "../effects";
import type { PeerPurpose, SentReports } from "../events";
import { addMillis, type Millis } from "../ids";
import type { GrantAnswer, GrantReport, OwnerAddress } from "../peers";
import { buildReport, computeAvailable, type GrantRow, type HolderRow } from "../tables/grants";
import type { Tick, World } from "../world";
import { settleReports } from "./grantTokens";
import { chooseOwner, findOwnedBucket, isOwnAddress, requestOwnership } from "./ownership";

/** Fraction of its lifetime after which a grant is returned. The rest leaves time to deliver and repeat the report. */
const usableFraction = 0.85;
/** Reports are delayed by this fraction of a grant's lifetime, so that one call covers many requests. */
const reportDelayFraction = 0.25;
/** Tokens are requested ahead of need when the available ones drop below this fraction of the recent usage. */
const minAvailableFraction = 0.25;
const prefetchPauseMs = 100;
/** Bounds of the back-off after an owner had no tokens. Without `minMs`, each small refill would cost a call. */
const emptyBackOff = { minMs: 25, maxMs: 100 };
const failureBackOffMs = 100;
/** Limits the rate of calls while members disagree about the owner. */
const redirectBackOffMs = 10;
/** Maximum number of reports in one message; a limit of the encoding. */
const maxReports = 64;

/** Schedules a tick for the account unless an earlier one is scheduled. */
export function scheduleHolder(world: World, tick: Tick, holder: HolderRow, at: Millis): void {
    if (holder.timerAt === undefined || holder.timerAt <= tick.now || at < holder.timerAt) {
        holder.timerAt = at;
        world.timers.schedule({ name: "grantExpiry", at, key: holder.account });
    }
}

function findOwner(world: World, tick: Tick, holder: HolderRow): OwnerAddress | undefined {
    if (holder.owner) {
        return holder.owner;
    }
    const chosenOwner = chooseOwner(world, holder.account, tick.now);
    if (!chosenOwner || !isOwnAddress(world, chosenOwner)) {
        return chosenOwner;
    }
    requestOwnership(world, holder.account, tick.now);
    return world.tables.buckets.getOwnership(holder.account).owner;
}

const listUnreportedGrants = (holder: HolderRow): GrantRow[] =>
    [...holder.grants.values()].filter(grant => grant.sequence > grant.acknowledgedSequence).slice(0, maxReports);

const toSentReports = (reports: readonly GrantReport[]): SentReports =>
    reports.map(({ grant, sequence }) => ({ grant, sequence }));

/** Tokens that the waiting requests of an account need, and the smallest useful amount. */
export interface GrantNeed {
    readonly needed: number;
    readonly atLeast: number;
}

/** Requests tokens from the owner, in one call for all waiting requests and for the expected usage. */
export function requestGrant(world: World, tick: Tick, holder: HolderRow, need: GrantNeed): void {
    if (holder.isPending || tick.now < holder.requestNotBefore) {
        return;
    }
    const owner = findOwner(world, tick, holder);
    if (!owner || isOwnAddress(world, owner)) {
        holder.owner = undefined;
        holder.requestNotBefore = addMillis(tick.now, failureBackOffMs);
        return;
    }
    const { account } = holder;
    const reports = listUnreportedGrants(holder).map(grant => buildReport(grant, tick.now));
    const prefetchTokens = Math.max(0, Math.ceil(holder.demand.tokens) - computeAvailable(holder));
    holder.owner = owner;
    holder.isPending = true;
    holder.reportNotBefore = addMillis(tick.now, world.settings.rates.grantTtlMs * reportDelayFraction);
    world.effects.append({
        kind: "callPeer",
        purpose: { for: "grant", account, sentAt: tick.now, reports: toSentReports(reports) },
        address: owner.address,
        request: {
            kind: "requestGrant",
            body: {
                vm: world.settings.vm,
                incarnation: world.incarnation,
                account,
                tokens: need.needed + prefetchTokens,
                ...need,
                reports,
            },
        },
    });
}

/** Requests tokens ahead of need when the available tokens run low. */
export function requestPrefetch(world: World, tick: Tick, holder: HolderRow): void {
    const isLow = computeAvailable(holder) < holder.demand.tokens * minAvailableFraction;
    if (isLow && tick.now >= holder.prefetchNotBefore && !findOwnedBucket(world, holder.account, tick.now)) {
        requestGrant(world, tick, holder, { needed: 0, atLeast: 1 });
    }
}

type GrantPurpose = Extract<PeerPurpose, { readonly for: "grant"; }>;

type AnswerHandlers = {
    readonly [Kind in GrantAnswer["kind"]]: (
        world: World,
        tick: Tick,
        holder: HolderRow,
        answer: Extract<GrantAnswer, { readonly kind: Kind; }>,
        purpose: GrantPurpose,
    ) => void;
};

const answerHandlers: AnswerHandlers = {
    granted: (world, tick, holder, answer, { sentAt }) => {
        const expiresAt = addMillis(sentAt, answer.ttlMs);
        // Grants are kept until they expire, so a duplicate answer either finds its grant or arrives too late.
        if (tick.now >= expiresAt || holder.grants.has(answer.grant)) {
            return;
        }
        holder.emptyUntil = tick.now;
        holder.grants.set(answer.grant, {
            id: answer.grant,
            available: answer.tokens,
            reserved: 0,
            spent: 0,
            returned: 0,
            reservedUntil: tick.now,
            returnAt: addMillis(sentAt, answer.ttlMs * usableFraction),
            expiresAt,
            sequence: 0,
            acknowledgedSequence: 0,
        });
        if (holder.fencingToken === undefined || answer.fencing > holder.fencingToken) {
            holder.fencingToken = answer.fencing;
            logInfo(world.effects, "rate:", "Grant received from a new bucket owner.", {
                account: holder.account,
                owner: holder.owner?.vm,
                fencing: answer.fencing,
            });
        }
    },
    empty: (_world, tick, holder, { retryAfterMs }) => {
        const waitMs = Math.min(emptyBackOff.maxMs, Math.max(emptyBackOff.minMs, retryAfterMs));
        holder.requestNotBefore = addMillis(tick.now, waitMs);
        holder.emptyUntil = addMillis(tick.now, retryAfterMs);
    },
    not_owner: (_world, tick, holder, { owner }) => {
        holder.owner = owner;
        holder.requestNotBefore = addMillis(tick.now, owner ? redirectBackOffMs : failureBackOffMs);
    },
};

function confirmReports(holder: HolderRow, reports: SentReports): void {
    for (const { grant: id, sequence } of reports) {
        const grant = holder.grants.get(id);
        if (grant) {
            grant.acknowledgedSequence = Math.max(grant.acknowledgedSequence, sequence);
        }
    }
}

/** Handles the answers of owners to grant requests and reports. */
export function handleOwnerAnswers(world: World, tick: Tick): void {
    for (const { purpose, result } of tick.events.listPeerReplies("grant")) {
        const holder = world.tables.grants.get(purpose.account);
        holder.isPending = false;
        holder.prefetchNotBefore = addMillis(tick.now, prefetchPauseMs);
        if (result.err || result.val.kind !== "requestGrant") {
            holder.owner = undefined;
            holder.requestNotBefore = addMillis(tick.now, failureBackOffMs);
            continue;
        }
        const answer = result.val.body;
        if (answer.kind !== "not_owner") {
            confirmReports(holder, purpose.reports);
        }
        (answerHandlers[answer.kind] as (
            world: World,
            tick: Tick,
            holder: HolderRow,
            answer: GrantAnswer,
            purpose: GrantPurpose,
        ) => void)(world, tick, holder, answer, purpose);
    }
    for (const { purpose, result } of tick.events.listPeerReplies("grantReturn")) {
        const holder = world.tables.grants.get(purpose.account);
        holder.isPending = false;
        if (result.ok && result.val.kind === "returnGrant" && result.val.body.accepted) {
            confirmReports(holder, purpose.reports);
        }
        else {
            holder.owner = undefined;
        }
    }
}

function sendReports(world: World, tick: Tick, holder: HolderRow): void {
    const reports = listUnreportedGrants(holder).map(grant => buildReport(grant, tick.now));
    const ownedBucket = findOwnedBucket(world, holder.account, tick.now);
    if (ownedBucket) {
        settleReports(ownedBucket, world.settings.vm, reports, tick.now);
        confirmReports(holder, toSentReports(reports));
        return;
    }
    const owner = findOwner(world, tick, holder);
    holder.reportNotBefore = addMillis(tick.now, world.settings.rates.grantTtlMs * reportDelayFraction);
    if (!owner || isOwnAddress(world, owner) || holder.isPending) {
        return;
    }
    holder.isPending = true;
    world.effects.append({
        kind: "callPeer",
        purpose: { for: "grantReturn", account: holder.account, reports: toSentReports(reports) },
        address: owner.address,
        request: { kind: "returnGrant", body: { vm: world.settings.vm, account: holder.account, reports } },
    });
}

function releaseTokens(grant: GrantRow): void {
    if (grant.available > 0) {
        grant.returned += grant.available;
        grant.available = 0;
        grant.sequence += 1;
    }
}

/** Returns tokens that will not be used, removes ended grants and sends the reports that are due. */
export function expireHeldGrants(world: World, tick: Tick, holder: HolderRow): void {
    const { grantTtlMs } = world.settings.rates;
    const { node, requests } = world.tables;
    const isDrained = node.state === "draining" && !node.isAdmitting && requests.count("reserving") === 0;
    let isReportDue = false;
    for (const grant of holder.grants.values()) {
        if (isDrained || tick.now >= grant.returnAt) {
            // Tokens that running requests leave unused later are returned with the next regular report.
            isReportDue ||= grant.available > 0 && grant.returned === 0;
            releaseTokens(grant);
        }
        const isEnded = tick.now >= grant.expiresAt && grant.reserved <= 0;
        // The owner that issued the grant has counted the rest as spent, so a later report would not change anything.
        if (isEnded && (grant.acknowledgedSequence === grant.sequence || tick.now >= grant.expiresAt + grantTtlMs)) {
            holder.grants.delete(grant.id);
        }
    }
    const isUnreported = listUnreportedGrants(holder).length > 0;
    if (isUnreported && (isReportDue || tick.now >= holder.reportNotBefore)) {
        sendReports(world, tick, holder);
    }
    for (const grant of holder.grants.values()) {
        const at = tick.now < grant.returnAt ? grant.returnAt : addMillis(tick.now, grantTtlMs * reportDelayFraction);
        scheduleHolder(world, tick, holder, at);
    }
}

/** Holder role of rates: asks bucket owners for grants, takes their answers, gives back and reports. */
import { logInfo } from "../effects";
import type { PeerPurpose, SentReports } from "../events";
import { addMillis, type Millis } from "../ids";
import type { GrantAnswer, GrantReport, OwnerAddress } from "../peers";
import { buildReport, computeAvailable, type GrantRow, type HolderRow } from "../tables/grants";
import type { Tick, World } from "../world";
import { settleReports } from "./grantTokens";
import { chooseOwner, findOwnedBucket, isOwnAddress, requestOwnership } from "./ownership";

/** Part of its life after which a grant is given back; the rest is for the report to arrive and be repeated. */
const usablePart = 0.85;
/** Reports wait for this part of the life of a grant, so that one call covers many requests. */
const reportPart = 0.25;
/** Tokens are asked for in advance when less than this part of the recent use is left. */
const advancePart = 0.25;
const advancePauseMs = 100;
/** Shortest and longest pause after an owner had no tokens; without the shortest, each refill step costs a call. */
const emptyPauseMs = { shortest: 25, longest: 100 };
const failurePauseMs = 100;
/** Bounds the calls while members disagree about the owner. */
const redirectPauseMs = 10;
/** Limit of the encoding. */
const maxReports = 64;

/** Wakes a tick for the account, unless one is set to come earlier. */
export function scheduleHolder(world: World, tick: Tick, holder: HolderRow, at: Millis): void {
    if (holder.wakeAt === undefined || holder.wakeAt <= tick.now || at < holder.wakeAt) {
        holder.wakeAt = at;
        world.timers.schedule({ name: "grantExpiry", at, key: holder.account });
    }
}

function findOwner(world: World, tick: Tick, holder: HolderRow): OwnerAddress | undefined {
    if (holder.owner) {
        return holder.owner;
    }
    const chosen = chooseOwner(world, holder.account, tick.now);
    if (!chosen || !isOwnAddress(world, chosen)) {
        return chosen;
    }
    requestOwnership(world, holder.account, tick.now);
    return world.tables.buckets.getOwnership(holder.account).owner;
}

const listUnreported = (holder: HolderRow): GrantRow[] =>
    [...holder.grants.values()].filter(grant => grant.sequence > grant.reported).slice(0, maxReports);

const toSentReports = (reports: readonly GrantReport[]): SentReports =>
    reports.map(({ grant, sequence }) => ({ grant, sequence }));

/** What an account needs now. */
export interface GrantNeed {
    readonly needed: number;
    readonly atLeast: number;
}

/** Asks the owner for tokens, in one call for all requests that wait and for the use expected next. */
export function requestGrant(world: World, tick: Tick, holder: HolderRow, need: GrantNeed): void {
    if (holder.isPending || tick.now < holder.askAfter) {
        return;
    }
    const owner = findOwner(world, tick, holder);
    if (!owner || isOwnAddress(world, owner)) {
        holder.owner = undefined;
        holder.askAfter = addMillis(tick.now, failurePauseMs);
        return;
    }
    const { account } = holder;
    const reports = listUnreported(holder).map(grant => buildReport(grant, tick.now));
    const advance = Math.max(0, Math.ceil(holder.demand.tokens) - computeAvailable(holder));
    holder.owner = owner;
    holder.isPending = true;
    holder.reportAfter = addMillis(tick.now, world.settings.rates.grantTtlMs * reportPart);
    world.effects.append({
        kind: "askPeer",
        purpose: { for: "grant", account, askedAt: tick.now, reports: toSentReports(reports) },
        address: owner.address,
        request: {
            kind: "requestGrant",
            body: {
                vm: world.settings.vm,
                incarnation: world.incarnation,
                account,
                tokens: need.needed + advance,
                ...need,
                reports,
            },
        },
    });
}

/** Asks in advance when the grants will soon be used up. */
export function requestAdvance(world: World, tick: Tick, holder: HolderRow): void {
    const isLow = computeAvailable(holder) < holder.demand.tokens * advancePart;
    if (isLow && tick.now >= holder.advanceAfter && !findOwnedBucket(world, holder.account, tick.now)) {
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
    granted: (world, tick, holder, answer, { askedAt }) => {
        const expiresAt = addMillis(askedAt, answer.ttlMs);
        // Rows are kept until they expire, so a repeated answer finds its row or is too late.
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
            returnAt: addMillis(askedAt, answer.ttlMs * usablePart),
            expiresAt,
            sequence: 0,
            reported: 0,
        });
        if (holder.fencing === undefined || answer.fencing > holder.fencing) {
            holder.fencing = answer.fencing;
            logInfo(world.effects, "rate:", "Bucket owner answered for the first time.", {
                account: holder.account,
                owner: holder.owner?.vm,
                fencing: answer.fencing,
            });
        }
    },
    empty: (_world, tick, holder, { retryAfterMs }) => {
        const pauseMs = Math.min(emptyPauseMs.longest, Math.max(emptyPauseMs.shortest, retryAfterMs));
        holder.askAfter = addMillis(tick.now, pauseMs);
        holder.emptyUntil = addMillis(tick.now, retryAfterMs);
    },
    not_owner: (_world, tick, holder, { owner }) => {
        holder.owner = owner;
        holder.askAfter = addMillis(tick.now, owner ? redirectPauseMs : failurePauseMs);
    },
};

function confirmReports(holder: HolderRow, reports: SentReports): void {
    for (const { grant: id, sequence } of reports) {
        const grant = holder.grants.get(id);
        if (grant) {
            grant.reported = Math.max(grant.reported, sequence);
        }
    }
}

/** Takes the answers of owners to requests and reports. */
export function handleOwnerAnswers(world: World, tick: Tick): void {
    for (const { purpose, result } of tick.events.listPeerReplies("grant")) {
        const holder = world.tables.grants.get(purpose.account);
        holder.isPending = false;
        holder.advanceAfter = addMillis(tick.now, advancePauseMs);
        if (result.err || result.val.kind !== "requestGrant") {
            holder.owner = undefined;
            holder.askAfter = addMillis(tick.now, failurePauseMs);
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
    const reports = listUnreported(holder).map(grant => buildReport(grant, tick.now));
    const own = findOwnedBucket(world, holder.account, tick.now);
    if (own) {
        settleReports(own, world.settings.vm, reports, tick.now);
        confirmReports(holder, toSentReports(reports));
        return;
    }
    const owner = findOwner(world, tick, holder);
    holder.reportAfter = addMillis(tick.now, world.settings.rates.grantTtlMs * reportPart);
    if (!owner || isOwnAddress(world, owner) || holder.isPending) {
        return;
    }
    holder.isPending = true;
    world.effects.append({
        kind: "askPeer",
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

/** Gives back what will not be used, drops ended grants and sends the reports that are due. */
export function expireHeldGrants(world: World, tick: Tick, holder: HolderRow): void {
    const { grantTtlMs } = world.settings.rates;
    const { node, requests } = world.tables;
    const isDone = node.state === "draining" && !node.isAdmitting && requests.count("reserving") === 0;
    let isDue = false;
    for (const grant of holder.grants.values()) {
        if (isDone || tick.now >= grant.returnAt) {
            // What running requests leave unused later waits for the next regular report.
            isDue ||= grant.available > 0 && grant.returned === 0;
            releaseTokens(grant);
        }
        const isEnded = tick.now >= grant.expiresAt && grant.reserved <= 0;
        // Owners that gave the grant count the rest as spent by now; a later report changes nothing for them.
        if (isEnded && (grant.reported === grant.sequence || tick.now >= grant.expiresAt + grantTtlMs)) {
            holder.grants.delete(grant.id);
        }
    }
    const isUnreported = listUnreported(holder).length > 0;
    if (isUnreported && (isDue || tick.now >= holder.reportAfter)) {
        sendReports(world, tick, holder);
    }
    for (const grant of holder.grants.values()) {
        const at = tick.now < grant.returnAt ? grant.returnAt : addMillis(tick.now, grantTtlMs * reportPart);
        scheduleHolder(world, tick, holder, at);
    }
}

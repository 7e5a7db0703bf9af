/**
 * Records in the store which accounts have used their allowance faster than evenly. When all processes end at once, the
 * next ones know nothing else of the usage that is still in the window. One process records the surges of an account.
 */
import { logInfo, logWarning } from "../../effects";
import { type AccountId, addMillis, type VmId } from "../../ids";
import { decodeSurge, encodeSurge, surgePrefix } from "../codec/fleetRows";
import type { ForwardAccount, ForwardDocument } from "../document";
import type { ForwardTick } from "../events";
import { chooseRecordedSurge, computeSurge, isTooLow, type RecordedSurge } from "../policy/usageSurge";
import type { ForwardWorld } from "../world";
import { computeAllowedTokens, computeKnownTokens } from "./accountUsage";

/** A flood may use the whole allowance within a second. */
const sampleIntervalMs = 250;
const writeRetryMs = 1000;
/** A lower surge is recorded after this time only, so that bursts in a row cost few calls. */
const holdMs = 2000;
/** Longest difference between the clocks of two VMs, and time from a kill to the next start. */
const maxClockDifferenceMs = 6000;
/** Time after the start in which usage that a process learns of may be older than it. */
const learningMs = 1000;

/** Applies a row of the store; one that was there before this process started tells what the runs before have used. */
export function applySurgeRow(world: ForwardWorld, tick: ForwardTick, key: string, value: string | undefined): void {
    const { node, usageSurges: { found, recorded } } = world.tables;
    const account = key.slice(surgePrefix.length) as AccountId;
    const surge = value === undefined ? undefined : decodeSurge(value);
    if (!surge) {
        recorded.delete(account);
        return;
    }
    const { tokens, used } = surge;
    recorded.set(account, { tokens, used });
    // A surge that lasts is recorded again once in each window, so an older row says nothing about the present one.
    const maxAgeMs = world.settings.bounds.quotaWindowMs + maxClockDifferenceMs;
    if (node.isStoreUnread && tick.wallNow - surge.recordedAt <= maxAgeMs) {
        found.set(account, { tokens, used });
        logInfo(world.effects, "admit:", "An account has used its allowance faster than evenly before the start.", {
            account,
            tokens: Math.round(tokens),
            used: Math.round(used),
        });
    }
}

function applyReplies(world: ForwardWorld, tick: ForwardTick): void {
    const { recorded, writeNotBefore } = world.tables.usageSurges;
    for (const { purpose, outcome: { result } } of tick.events.list("storeReplied")) {
        if (purpose.for !== "surge") {
            continue;
        }
        const { account } = purpose;
        writeNotBefore.delete(account);
        if (result.err) {
            recorded.delete(account);
            writeNotBefore.set(account, addMillis(tick.now, writeRetryMs));
            logWarning(world.effects, "admit:", "A surge was not recorded.", { account, message: result.val.message });
        }
    }
}

/** Records the surge of an account, or removes its row. */
function writeSurge(
    world: ForwardWorld,
    tick: ForwardTick,
    account: AccountId,
    surge: RecordedSurge | undefined,
): void {
    const { recorded, writeNotBefore } = world.tables.usageSurges;
    const key = `${surgePrefix}${account}`;
    writeNotBefore.set(account, addMillis(tick.now, writeRetryMs));
    if (surge) {
        recorded.set(account, surge);
    }
    else {
        recorded.delete(account);
    }
    const change = surge
        ? { kind: "put", key, value: encodeSurge({ ...surge, recordedAt: tick.wallNow }) } as const
        : { kind: "delete", key } as const;
    world.effects.append({
        kind: "callStore",
        purpose: { for: "surge", account },
        call: { kind: "transaction", compare: [], success: [change] },
    });
}

interface MeasuredSurge {
    /** Surge to record; undefined for none. */
    readonly wanted: RecordedSurge | undefined;
    /** False while the samples cover less than a window, so that an earlier surge may not be over. */
    readonly coversWindow: boolean;
}

/** What this process found of the runs before, while it is in the window and no peer has told of them. */
function getSurgeBefore(world: ForwardWorld, tick: ForwardTick, account: AccountId): RecordedSurge {
    const { node, peers: { ownPreviousRun }, usageSurges: { found } } = world.tables;
    const isInWindow = tick.now - node.storeFirstReadAt <= world.settings.bounds.quotaWindowMs;
    const surge = isInWindow && !ownPreviousRun ? found.get(account) : undefined;
    return surge ?? { tokens: 0, used: 0 };
}

/** Adds a sample of the account's usage and computes its surge. */
function measureSurge(world: ForwardWorld, tick: ForwardTick, account: ForwardAccount): MeasuredSurge {
    const { recorded, samples } = world.tables.usageSurges;
    const windowMs = world.settings.bounds.quotaWindowMs;
    const now = { at: tick.now, tokens: computeKnownTokens(world, tick.now, account) };
    const earlier = (samples.get(account.id) ?? []).filter(({ at }) => tick.now - at <= windowMs);
    samples.set(account.id, [...earlier, now]);
    const allowedTokens = computeAllowedTokens(world, account);
    const surge = computeSurge({ samples: earlier, now, allowedTokens, windowMs });
    const { tokens, used } = getSurgeBefore(world, tick, account.id);
    return {
        wanted: chooseRecordedSurge({
            surge: surge + tokens,
            used: now.tokens + used,
            allowedTokens,
            recorded: recorded.get(account.id),
        }),
        coversWindow: earlier[0] !== undefined && tick.now - earlier[0].at > windowMs - 2 * sampleIntervalMs,
    };
}

/** Records a surge that has grown at once, one that has fallen after some time, and one that lasts in each window. */
function updateSurge(world: ForwardWorld, tick: ForwardTick, account: ForwardAccount): void {
    const { neededAt, recorded: surges, recordedAt, writeNotBefore } = world.tables.usageSurges;
    const { wanted, coversWindow } = measureSurge(world, tick, account);
    const recorded = surges.get(account.id);
    const isGrowing = wanted !== undefined && isTooLow(recorded, wanted);
    if (isGrowing || !coversWindow || (wanted && recorded && wanted.tokens >= recorded.tokens)) {
        neededAt.set(account.id, tick.now);
    }
    const hasFallen = recorded !== undefined && tick.now - (neededAt.get(account.id) ?? tick.now) >= holdMs;
    const isOld = wanted !== undefined
        && tick.now - (recordedAt.get(account.id) ?? tick.now) >= world.settings.bounds.quotaWindowMs;
    if ((isGrowing || hasFallen || isOld) && tick.now >= (writeNotBefore.get(account.id) ?? 0)) {
        neededAt.set(account.id, tick.now);
        recordedAt.set(account.id, tick.now);
        writeSurge(world, tick, account.id, wanted);
    }
}

interface RecorderPoint {
    readonly hash: bigint;
    readonly vm: VmId;
}

const listRecorders = (world: ForwardWorld): readonly RecorderPoint[] =>
    world.tables.members.list()
        .filter(({ state }) => state === "live")
        .map(({ vm }) => ({ vm, hash: world.hasher.hashText(vm, 0n) }))
        .sort((left, right) => left.hash < right.hash ? -1 : 1);

/** The first live process after the account on a ring of hashes, so that few accounts move when members change. */
function findRecorder(world: ForwardWorld, points: readonly RecorderPoint[], account: AccountId): VmId | undefined {
    const hash = world.hasher.hashText(account, 0n);
    return (points.find(point => point.hash >= hash) ?? points[0])?.vm;
}

/** Accounts whose surges this process records. */
function listRecordedAccounts(world: ForwardWorld, document: ForwardDocument): readonly ForwardAccount[] {
    const { members, usageSurges } = world.tables;
    const { assignment } = usageSurges;
    if (assignment?.membersRevision === members.revision && assignment.document === document) {
        return assignment.accounts;
    }
    const points = listRecorders(world);
    const accounts = [...document.accounts.values()].filter(({ id, rate }) =>
        rate > 0 && findRecorder(world, points, id) === world.settings.vm
    );
    const ids = new Set(accounts.map(({ id }) => id));
    for (const id of usageSurges.samples.keys()) {
        if (!ids.has(id)) {
            usageSurges.samples.delete(id);
        }
    }
    usageSurges.assignment = { membersRevision: members.revision, document, accounts };
    return accounts;
}

/** Deletes the rows of accounts that the configuration no longer limits. */
function removeOutdated(world: ForwardWorld, tick: ForwardTick, accounts: ForwardDocument["accounts"]): void {
    const { recorded, writeNotBefore } = world.tables.usageSurges;
    const outdated = [...recorded.keys()].filter(id =>
        (accounts.get(id)?.rate ?? 0) <= 0 && tick.now >= (writeNotBefore.get(id) ?? 0)
    );
    const points = outdated.length > 0 ? listRecorders(world) : [];
    for (const id of outdated.filter(account => findRecorder(world, points, account) === world.settings.vm)) {
        writeSurge(world, tick, id, undefined);
    }
}

/** True while usage of peers that this process has not heard from would look like a surge. */
function isLearning(world: ForwardWorld, tick: ForwardTick): boolean {
    const { members, node, peers } = world.tables;
    return tick.now - node.storeFirstReadAt < learningMs
        && members.list().some(({ vm }) => vm !== world.settings.vm && !peers.rows.get(vm)?.startedAt);
}

/**
 * Reads: configuration, members, peers, usage windows. Writes: usage surges.
 * Effects: calls to the store, log lines.
 */
export function recordSurges(world: ForwardWorld, tick: ForwardTick): void {
    if (tick.number === 1) {
        world.timers.subscribe({ name: "usageSample", everyMs: sampleIntervalMs }, tick.now);
    }
    applyReplies(world, tick);
    const { document } = world.tables.configuration;
    if (!tick.due.has("usageSample") || !document || isLearning(world, tick)) {
        return;
    }
    for (const account of listRecordedAccounts(world, document)) {
        updateSurge(world, tick, account);
    }
    removeOutdated(world, tick, document.accounts);
}

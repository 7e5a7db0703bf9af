/**
 * Records in the store which accounts have used their allowance faster than evenly. When all processes end at once, the
 * next ones know nothing else of the usage that is still in the window. One process records the surges of an account.
 */
import { logInfo, logWarning } from "../../effects";
import { type AccountId, addMillis, type VmId } from "../../ids";
import { decodeSurge, encodeSurge, surgePrefix } from "../codec/fleetRows";
import type { ForwardAccount, ForwardDocument } from "../document";
import type { ForwardTick } from "../events";
import { chooseRecordedSurge, computeSurge } from "../policy/usageSurge";
import type { ForwardWorld } from "../world";
import { computeAllowedTokens, computeKnownTokens } from "./accountUsage";

/** A flood may use the whole allowance within a second. */
const sampleIntervalMs = 250;
const writeRetryMs = 1000;
/** A row that is older by the wall clock says nothing about the window; clocks differ by some seconds. */
const maxRowAgeMs = 20_000;

/** Applies a row of the store; one that was there before this process started tells what the runs before have used. */
export function applySurgeRow(world: ForwardWorld, tick: ForwardTick, key: string, value: string | undefined): void {
    const { node, usageSurges: { found, recorded } } = world.tables;
    const account = key.slice(surgePrefix.length) as AccountId;
    const surge = value === undefined ? undefined : decodeSurge(value);
    if (!surge) {
        recorded.delete(account);
        return;
    }
    recorded.set(account, surge.tokens);
    if (node.isStoreUnread && tick.wallNow - surge.recordedAt <= maxRowAgeMs) {
        found.set(account, surge.tokens);
        logInfo(world.effects, "admit:", "An account has used its allowance faster than evenly before the start.", {
            account,
            tokens: Math.round(surge.tokens),
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

function writeSurge(world: ForwardWorld, tick: ForwardTick, account: AccountId, tokens: number): void {
    const { recorded, writeNotBefore } = world.tables.usageSurges;
    const key = `${surgePrefix}${account}`;
    writeNotBefore.set(account, addMillis(tick.now, writeRetryMs));
    recorded.set(account, tokens);
    const change = tokens === 0
        ? { kind: "delete", key } as const
        : { kind: "put", key, value: encodeSurge({ tokens, recordedAt: tick.wallNow }) } as const;
    world.effects.append({
        kind: "callStore",
        purpose: { for: "surge", account },
        call: { kind: "transaction", compare: [], success: [change] },
    });
}

interface MeasuredSurge {
    readonly surge: number;
    readonly allowedTokens: number;
    /** False while the samples cover less than a window. */
    readonly coversWindow: boolean;
}

/** Adds a sample of the account's usage and computes its surge. */
function measureSurge(world: ForwardWorld, tick: ForwardTick, account: ForwardAccount): MeasuredSurge {
    const { samples } = world.tables.usageSurges;
    const windowMs = world.settings.bounds.quotaWindowMs;
    const tokens = computeKnownTokens(world, tick.now, account);
    const now = { at: tick.now, tokens };
    const earlier = (samples.get(account.id) ?? []).filter(({ at }) => tick.now - at <= windowMs);
    samples.set(account.id, [...earlier, now]);
    const coversWindow = earlier[0] !== undefined && tick.now - earlier[0].at > windowMs - 2 * sampleIntervalMs;
    const allowedTokens = computeAllowedTokens(world, account);
    return { surge: computeSurge({ samples: earlier, now, allowedTokens, windowMs }), coversWindow, allowedTokens };
}

function updateSurge(world: ForwardWorld, tick: ForwardTick, account: ForwardAccount): void {
    const { recorded: surges, writeNotBefore } = world.tables.usageSurges;
    const { surge, coversWindow, allowedTokens } = measureSurge(world, tick, account);
    const recorded = surges.get(account.id) ?? 0;
    const next = chooseRecordedSurge({ surge, recorded, allowedTokens });
    // A process that has not seen a whole window doesn't know whether an earlier surge is over.
    const mayWrite = tick.now >= (writeNotBefore.get(account.id) ?? 0) && (next > recorded || coversWindow);
    if (mayWrite && next !== recorded) {
        writeSurge(world, tick, account.id, next);
    }
}

/** Live processes; all have the same list and choose by it who records the surges of an account. */
const listRecorders = (world: ForwardWorld): readonly VmId[] =>
    world.tables.members.list().filter(({ state }) => state === "live").map(({ vm }) => vm).sort();

/** One hash for each account: a process that records another account only lacks its samples of the last window. */
function isRecorder(world: ForwardWorld, account: AccountId, recorders: readonly VmId[]): boolean {
    const index = world.hasher.hashText(account, 0n) % BigInt(Math.max(1, recorders.length));
    return recorders[Number(index)] === world.settings.vm;
}

/** Deletes the rows of accounts that the configuration no longer limits. */
function removeOutdated(world: ForwardWorld, tick: ForwardTick, accounts: ForwardDocument["accounts"]): void {
    const { recorded, writeNotBefore } = world.tables.usageSurges;
    for (const [id, tokens] of recorded) {
        const isLimited = (accounts.get(id)?.rate ?? 0) > 0;
        if (tokens > 0 && !isLimited && tick.now >= (writeNotBefore.get(id) ?? 0)) {
            writeSurge(world, tick, id, 0);
        }
    }
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
    const { configuration: { document }, usageSurges } = world.tables;
    if (!tick.due.has("usageSample") || !document) {
        return;
    }
    const recorders = listRecorders(world);
    for (const account of document.accounts.values()) {
        if (account.rate > 0 && isRecorder(world, account.id, recorders)) {
            updateSurge(world, tick, account);
        }
        else {
            usageSurges.samples.delete(account.id);
        }
    }
    removeOutdated(world, tick, document.accounts);
}

/**
 * Quarantines prompt parts under which engines crash. All processes judge from the same evidence, which they exchange;
 * the store holds the result for processes that start later.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis, toMillis } from "../../ids";
import { decodeQuarantine, encodeQuarantine, quarantinePrefix } from "../codec/fleetRows";
import type { ForwardTick } from "../events";
import type { PartId } from "../ids";
import { type CrashingPart, findCrashingPart } from "../policy/crashingPart";
import { isQuarantined, type QuarantineRow } from "../tables/quarantine";
import { findOpenAttempt, type ForwardRequestRow, listSharedParts } from "../tables/requests";
import type { ForwardWorld } from "../world";
import { computeSettleMs, hasBegunSafely, recordBegunAnswers, recordConnectionEnd } from "./followCrashes";
import { refuseForwardRequest } from "./requestEnd";

/** Separate crashes after which a part is blamed; two may share a part by chance. */
const requiredCrashes = 3;
/** In the probation after a quarantine, one crash is enough. */
const requiredCrashesOnProbation = 1;
/** Length of the first quarantine of a part. */
const firstQuarantineMs = 60_000;
/** Longest quarantine, and longest remaining time that is accepted from the store. */
const maxQuarantineMs = 86_400_000;
/** Retry delay sent to callers while a trial is awaited. */
const trialRetryAfterMs = 5000;
/** Interval at which a row that the store does not hold yet is written again. */
const writeRetryMs = 1000;

/** A quarantine that applies to a prompt, with the seconds after which the caller may come back. */
export interface PromptQuarantine {
    readonly part: PartId;
    readonly retryAfterSeconds: number;
}

/**
 * True when this process may send the request as a trial. Only the rollout leader does, one request at a time, so that
 * a part that still crashes engines ends one engine of the fleet.
 */
function canTry(world: ForwardWorld, { activeUntil, trialRequest }: QuarantineRow, tick: ForwardTick): boolean {
    const { node, requests } = world.tables;
    const isTrialRunning = trialRequest !== undefined && requests.get(trialRequest) !== undefined;
    return tick.now >= activeUntil && node.rolloutLeadership.state === "held" && !isTrialRunning;
}

/** The quarantine for which the prompt must be refused now, if any. */
export function findQuarantine(
    world: ForwardWorld,
    tick: ForwardTick,
    prompt: Pick<ForwardRequestRow, "arrival">,
): PromptQuarantine | undefined {
    const { quarantine } = world.tables;
    if (quarantine.size === 0) {
        return undefined;
    }
    for (const part of listSharedParts(prompt)) {
        const row = quarantine.get(part);
        if (row && row.trialRequest !== prompt.arrival.request && !canTry(world, row, tick)) {
            const waitMs = tick.now < row.activeUntil ? row.activeUntil - tick.now : trialRetryAfterMs;
            return { part, retryAfterSeconds: waitMs / 1000 };
        }
    }
    return undefined;
}

/** Records the request as the trial of its parts that are on probation. */
export function recordTrial(world: ForwardWorld, row: ForwardRequestRow): void {
    const { quarantine } = world.tables;
    if (quarantine.size === 0) {
        return;
    }
    for (const part of listSharedParts(row)) {
        const quarantined = quarantine.get(part);
        if (quarantined) {
            quarantined.trialRequest = row.id;
            logInfo(world.effects, "quarantine:", "A request is sent to try a part on probation.", {
                request: row.id,
                part,
            });
        }
    }
}

/** Length of a quarantine; the probation after it is as long. */
const computeQuarantineMs = (offences: number): number =>
    Math.min(maxQuarantineMs, firstQuarantineMs * 2 ** (offences - 1));

interface QuarantineTerms {
    readonly part: PartId;
    /** Milliseconds since the Unix epoch. */
    readonly endsAt: number;
    readonly offences: number;
    readonly isStored: boolean;
}

/** Adds a row and schedules its ends. */
export function addQuarantine(world: ForwardWorld, tick: ForwardTick, terms: QuarantineTerms): QuarantineRow {
    const { endsAt, offences, part } = terms;
    const activeUntil = addMillis(tick.now, Math.min(maxQuarantineMs, endsAt - tick.wallNow));
    const probationUntil = addMillis(activeUntil, computeQuarantineMs(offences));
    const row: QuarantineRow = { ...terms, activeUntil, probationUntil, trialRequest: undefined };
    const dropped = world.tables.quarantine.add(row);
    if (dropped) {
        logWarning(world.effects, "quarantine:", "The table is full; the quarantine that ends first was dropped.", {
            part: dropped.part,
        });
    }
    world.timers.schedule({ name: "quarantineEnd", at: toMillis(Math.max(tick.now, activeUntil)), key: part });
    world.timers.schedule({ name: "quarantineEnd", at: toMillis(Math.max(tick.now, probationUntil)), key: part });
    return row;
}

function writeQuarantine(world: ForwardWorld, { part, endsAt, offences }: QuarantineRow): void {
    const value = encodeQuarantine({ part, endsAt, offences });
    world.effects.append({
        kind: "callStore",
        purpose: { for: "quarantine", part },
        call: {
            kind: "transaction",
            compare: [],
            success: [{ kind: "put", key: `${quarantinePrefix}${part}`, value }],
        },
    });
}

function startQuarantine(world: ForwardWorld, tick: ForwardTick, { part, crashes, answeredAt }: CrashingPart): void {
    const offences = (world.tables.quarantine.get(part)?.offences ?? 0) + 1;
    const lengthMs = computeQuarantineMs(offences);
    const row = addQuarantine(world, tick, { part, offences, endsAt: tick.wallNow + lengthMs, isStored: false });
    writeQuarantine(world, row);
    world.timers.schedule({ name: "quarantineWrite", at: addMillis(tick.now, writeRetryMs) });
    world.effects.append({ kind: "addCount", name: "quarantines_total", value: 1, labels: { reason: "crashes" } });
    logWarning(world.effects, "quarantine:", "Engines crash under a prompt part; requests with it are refused.", {
        part,
        crashes,
        offences,
        lengthMs,
        answeredMs: answeredAt === undefined ? undefined : Math.round(tick.now - answeredAt),
        reports: world.tables.crashes.list().map(({ target, failedAt, suspects }) =>
            `${target} ${Math.round(tick.now - failedAt)} ms ago, ${suspects.size} suspects`
        ),
    });
}

/** Judges the crashes about which all processes have had time to report. */
function checkCrashes(world: ForwardWorld, tick: ForwardTick): void {
    const { answeredParts, crashes, quarantine } = world.tables;
    recordBegunAnswers(world, tick);
    const settleMs = computeSettleMs(world);
    const found = findCrashingPart({
        crashes: crashes.list().filter(({ isConfirmed, failedAt }) => isConfirmed && tick.now - failedAt >= settleMs),
        getAnsweredAt: answeredParts.getAnsweredAt,
        isQuarantined: part => isQuarantined(quarantine, part, tick.now),
        getRequiredCrashes: part => quarantine.get(part) ? requiredCrashesOnProbation : requiredCrashes,
    });
    if (found) {
        startQuarantine(world, tick, found);
    }
}

/** Ends the suspicion of a part: only crashes from now on count against it. */
function removeQuarantine(world: ForwardWorld, tick: ForwardTick, part: PartId): void {
    world.tables.quarantine.remove(part);
    world.tables.answeredParts.record(part, tick.now);
}

/** Applies a row of the store: a quarantine that another process began, or one that an operator cleared. */
export function applyQuarantineRow(
    world: ForwardWorld,
    tick: ForwardTick,
    key: string,
    value: string | undefined,
): void {
    const part = key.slice(quarantinePrefix.length) as PartId;
    const current = world.tables.quarantine.get(part);
    if (value === undefined) {
        if (current) {
            removeQuarantine(world, tick, part);
            logInfo(world.effects, "quarantine:", "Quarantine was removed from the store.", { part });
        }
        return;
    }
    const stored = decodeQuarantine(value);
    if (!stored) {
        logWarning(world.effects, "store:", "A row of the store cannot be read and is ignored.", { key });
        return;
    }
    // Several processes begin the same quarantine at once; their rows differ by milliseconds.
    if (current && current.offences >= stored.offences) {
        current.isStored = true;
        return;
    }
    addQuarantine(world, tick, { ...stored, part, isStored: true });
    const { endsAt, offences } = stored;
    const endsInMs = Math.round(endsAt - tick.wallNow);
    logInfo(world.effects, "quarantine:", "Quarantine was read from the store.", { part, offences, endsInMs });
}

/** Longest time after a restore within which a process writes missing quarantines again; most are written by then. */
const maxRewriteDelayMs = 1000;

/** Has quarantines written again that a restored store lacks; `keys` are those that it has. */
export function writeQuarantinesAgain(world: ForwardWorld, tick: ForwardTick, keys: ReadonlySet<string>): void {
    const missing = world.tables.quarantine.list().filter(({ part }) => !keys.has(`${quarantinePrefix}${part}`));
    for (const row of missing) {
        row.isStored = false;
    }
    if (missing.length > 0) {
        const at = addMillis(tick.now, world.random() * maxRewriteDelayMs);
        world.timers.schedule({ name: "quarantineWrite", at });
    }
}

function applyReplies(world: ForwardWorld, tick: ForwardTick): void {
    for (const { purpose, outcome: { result } } of tick.events.list("storeReplied")) {
        if (purpose.for !== "quarantine") {
            continue;
        }
        const row = world.tables.quarantine.get(purpose.part);
        if (row && result.ok) {
            row.isStored = true;
        }
        else if (result.err) {
            const { message } = result.val;
            logWarning(world.effects, "quarantine:", "Quarantine was not stored.", { part: purpose.part, message });
        }
    }
}

/** Writes again what the store does not hold yet; every process that knows of a quarantine does so. */
function writeUnstored(world: ForwardWorld, tick: ForwardTick): void {
    const unstored = world.tables.quarantine.list().filter(({ isStored }) => !isStored);
    for (const row of unstored) {
        writeQuarantine(world, row);
    }
    if (unstored.length > 0) {
        world.timers.schedule({ name: "quarantineWrite", at: addMillis(tick.now, writeRetryMs) });
    }
}

/** Ends the probation of a part, and removes its row from the store if this process is the rollout leader. */
function endProbation(world: ForwardWorld, tick: ForwardTick, part: PartId, reason: string): void {
    removeQuarantine(world, tick, part);
    if (world.tables.node.rolloutLeadership.state === "held") {
        const key = `${quarantinePrefix}${part}`;
        world.effects.append({
            kind: "callStore",
            purpose: { for: "quarantine", part },
            call: { kind: "transaction", compare: [], success: [{ kind: "delete", key }] },
        });
    }
    logInfo(world.effects, "quarantine:", "Probation of a prompt part ended.", { part, reason });
}

function endQuarantines(world: ForwardWorld, tick: ForwardTick): void {
    const { answeredParts, quarantine } = world.tables;
    for (const key of tick.due.listKeys("quarantineEnd")) {
        const part = key as PartId;
        const row = quarantine.get(part);
        if (row && tick.now >= row.probationUntil) {
            endProbation(world, tick, part, "no crash");
        }
        else if (row && tick.now >= row.activeUntil) {
            logInfo(world.effects, "quarantine:", "Quarantine of a prompt part ended; its probation begins.", { part });
        }
    }
    for (const { part, activeUntil, trialRequest } of quarantine.list()) {
        if (trialRequest !== undefined && (answeredParts.getAnsweredAt(part) ?? 0) > activeUntil) {
            endProbation(world, tick, part, "a trial was answered");
        }
    }
}

/** Refuses running requests with a part that was quarantined in this tick, before engines begin to answer them. */
function refuseRunning(world: ForwardWorld, tick: ForwardTick): void {
    if (world.tables.quarantine.takeAdded().length === 0) {
        return;
    }
    for (const row of world.tables.requests.list("running")) {
        const attempt = findOpenAttempt(row, row.attempts.length);
        const found = findQuarantine(world, tick, row);
        if (found && attempt && !hasBegunSafely(attempt, tick.now)) {
            // The request may still end its engine, which must then not be held against other parts.
            recordConnectionEnd(world, tick, row, attempt);
            refuseForwardRequest(world, tick, row, "prompt_quarantined", found.retryAfterSeconds);
        }
    }
}

/**
 * Reads: targets, node. Writes: quarantine, answered parts, crashes, requests, usage windows.
 * Effects: calls to the store, refusals, cancelled attempts, counts, log lines.
 */
export function updateQuarantine(world: ForwardWorld, tick: ForwardTick): void {
    applyReplies(world, tick);
    if (tick.due.has("crashEvaluation")) {
        checkCrashes(world, tick);
    }
    if (tick.due.has("quarantineWrite")) {
        writeUnstored(world, tick);
    }
    endQuarantines(world, tick);
    refuseRunning(world, tick);
}

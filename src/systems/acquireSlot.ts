/** Acquires and keeps a floor slot: a store key on a long lease that entitles this process to a share of each rate. */
import { logInfo, logWarning } from "../effects";
import { addMillis, toLeaseId } from "../ids";
import { listAnswerReads, listAnswerRows, type StoreOutcome } from "../store";
import type { Tick, World } from "../world";

export const slotPrefix = "slots/";

/** Interval of searches while every slot is taken or the store does not answer. */
const searchIntervalMs = 15_000;
/** Delay of the retry when another process took the slot first, which is common when a whole fleet starts. */
const conflictRetryMs = 200;
/** Renewals per lease duration, so that floors survive a store outage of most of that duration. */
const renewalsPerLease = 12;

/** Value of a slot key. The incarnation is unique to the process, unlike the VM name. */
interface SlotRecord {
    readonly vm: string;
    readonly incarnation: string;
    readonly lease: string;
}

const toSlotKey = (slot: number): string => `${slotPrefix}${slot}`;

function scheduleSearch(world: World, tick: Tick, delayMs = searchIntervalMs): void {
    const at = addMillis(tick.now, delayMs * (0.5 + world.random()));
    world.timers.schedule({ name: "slotSearch", at });
}

function sendLeaseCall(world: World, step: "grant" | "renew"): void {
    const { slotLease } = world.tables.node;
    if (slotLease.isPending) {
        return;
    }
    slotLease.isPending = true;
    world.effects.append({
        kind: "callStore",
        purpose: { for: "lease", lease: "slot", step },
        call: step === "renew" && slotLease.id !== undefined
            ? { kind: "renewLease", lease: slotLease.id }
            : { kind: "grantLease", ttlSeconds: world.settings.rates.floorLeaseSeconds },
    });
}

function listSlots(world: World): void {
    world.effects.append({
        kind: "callStore",
        purpose: { for: "slot", slot: 0, step: "list" },
        call: { kind: "range", range: { key: slotPrefix, prefix: true } },
    });
}

function sendAcquisition(world: World, slot: number): void {
    const { id } = world.tables.node.slotLease;
    if (id === undefined) {
        return;
    }
    const key = toSlotKey(slot);
    const record: SlotRecord = { vm: world.settings.vm, incarnation: world.incarnation, lease: id };
    world.effects.append({
        kind: "callStore",
        purpose: { for: "slot", slot, step: "acquire" },
        call: {
            kind: "transaction",
            compare: [{ key, createRevision: 0 }],
            success: [{ kind: "put", key, value: JSON.stringify(record), lease: id }],
            failure: [{ kind: "range", range: { key } }],
        },
    });
}

/** True when this process wrote the slot key with its current lease. */
function isOwnRecord(world: World, value: string): boolean {
    const record = JSON.parse(value) as SlotRecord;
    return record.incarnation === world.incarnation && record.lease === world.tables.node.slotLease.id;
}

function startSlot(world: World, slot: number): void {
    world.tables.node.slot = slot;
    logInfo(world.effects, "rate:", "Floor slot acquired.", { slot });
}

function handleSlotList(world: World, tick: Tick, outcome: StoreOutcome): void {
    if (outcome.result.err || world.tables.node.slot !== undefined) {
        scheduleSearch(world, tick);
        return;
    }
    const rows = listAnswerRows(outcome.result.val);
    const ownRow = rows.find(row => isOwnRecord(world, row.value));
    if (ownRow) {
        // The answer to an earlier acquisition was lost.
        startSlot(world, Number(ownRow.key.slice(slotPrefix.length)));
        return;
    }
    const takenKeys = new Set(rows.map(row => row.key));
    const freeSlots = Array.from({ length: world.settings.rates.floorSlots }, (_, slot) => slot)
        .filter(slot => !takenKeys.has(toSlotKey(slot)));
    const slot = freeSlots[Math.floor(world.random() * freeSlots.length)];
    if (slot === undefined) {
        logWarning(world.effects, "rate:", "Every floor slot is taken; this VM has no floor.", {});
        scheduleSearch(world, tick);
        return;
    }
    sendAcquisition(world, slot);
}

function handleAcquisition(world: World, tick: Tick, slot: number, outcome: StoreOutcome): void {
    const answer = outcome.result.ok ? outcome.result.val : undefined;
    const isAcquired = answer?.kind === "transaction"
        && (answer.succeeded || listAnswerReads(answer).some(row => isOwnRecord(world, row.value)));
    // If the lease was replaced meanwhile, the key expires with the old lease.
    const isCurrentLease = outcome.sentAt >= world.tables.node.slotLeaseGrantedAt;
    if (isAcquired && isCurrentLease && world.tables.node.state !== "stopped") {
        startSlot(world, slot);
        return;
    }
    const hasLostRace = answer?.kind === "transaction" && !answer.succeeded;
    scheduleSearch(world, tick, hasLostRace ? conflictRetryMs : searchIntervalMs);
}

function endSlot(world: World, tick: Tick, reason: string): void {
    const { node } = world.tables;
    if (node.slot !== undefined) {
        logWarning(world.effects, "rate:", "Floor slot lost.", { slot: node.slot, reason });
    }
    node.slot = undefined;
    node.slotLease.id = undefined;
    scheduleSearch(world, tick);
}

function handleLease(world: World, tick: Tick, step: "grant" | "renew", outcome: StoreOutcome): void {
    const { node } = world.tables;
    node.slotLease.isPending = false;
    const answer = outcome.result.ok ? outcome.result.val : undefined;
    if (node.pendingRevocations !== undefined) {
        return;
    }
    if (answer?.kind !== "lease") {
        if (step === "grant") {
            scheduleSearch(world, tick);
        }
        return;
    }
    if (answer.ttlSeconds <= 0) {
        endSlot(world, tick, "The lease no longer exists.");
        return;
    }
    node.slotLease.id = toLeaseId(answer.lease);
    node.slotLease.validUntil = addMillis(outcome.sentAt, answer.ttlSeconds * 1000);
    if (step === "grant") {
        node.slotLeaseGrantedAt = tick.now;
        listSlots(world);
    }
}

function findSlot(world: World): void {
    const { node } = world.tables;
    if (node.slot !== undefined || node.state === "draining" || node.state === "stopped") {
        return;
    }
    if (node.slotLease.id === undefined) {
        sendLeaseCall(world, "grant");
    }
    else {
        listSlots(world);
    }
}

/**
 * Reads: node. Writes: node (slot and its lease).
 * Effects: store calls for the slot and its lease, log lines.
 */
export function acquireSlot(world: World, tick: Tick): void {
    const { node } = world.tables;
    const { floorFraction, floorLeaseSeconds } = world.settings.rates;
    if (floorFraction <= 0) {
        return;
    }
    if (tick.number === 1) {
        const everyMs = (floorLeaseSeconds * 1000) / renewalsPerLease;
        world.timers.subscribe({ name: "slotRenewal", everyMs }, tick.now);
        findSlot(world);
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("lease")) {
        if (purpose.lease === "slot" && purpose.step !== "revoke") {
            handleLease(world, tick, purpose.step, outcome);
        }
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("slot")) {
        if (purpose.step === "list") {
            handleSlotList(world, tick, outcome);
        }
        if (purpose.step === "acquire") {
            handleAcquisition(world, tick, purpose.slot, outcome);
        }
    }
    if (node.slotLease.id !== undefined && tick.now >= node.slotLease.validUntil) {
        endSlot(world, tick, "The lease was not renewed in time.");
    }
    if (tick.due.has("slotSearch")) {
        findSlot(world);
    }
    if (tick.due.has("slotRenewal") && node.slotLease.id !== undefined) {
        sendLeaseCall(world, "renew");
    }
}

/** Releases the slot by revoking its lease. Call it only after all requests of the process have ended. */
export function releaseSlot(world: World): void {
    const { node } = world.tables;
    node.slot = undefined;
    if (node.slotLease.id === undefined) {
        return;
    }
    world.effects.append({
        kind: "callStore",
        purpose: { for: "lease", lease: "slot", step: "revoke" },
        call: { kind: "revokeLease", lease: node.slotLease.id },
    });
    node.slotLease.id = undefined;
    node.pendingRevocations = (node.pendingRevocations ?? 0) + 1;
    logInfo(world.effects, "rate:", "Floor slot released.", {});
}

/** Registers this process in the store, renews its lease and maintains the table of members. */
import { z } from "zod";
import { logInfo, logWarning } from "../effects";
import { addMillis, type Millis, toConfigVersion, toLeaseId, toVmId, type VmId } from "../ids";
import { computeValueReadDelayMs } from "../policy/valueReads";
import { listAnswerRows, type StoreOutcome } from "../store";
import type { MemberRow } from "../tables/members";
import { isLeaseValid } from "../tables/node";
import type { Tick, World } from "../world";

export const memberPrefix = "members/";

const recordSchema = z.looseObject({
    vm: z.string().min(1).transform(toVmId),
    incarnation: z.string(),
    dataCentre: z.string(),
    callerAddress: z.string(),
    peerAddress: z.string(),
});

/** Registration of a process in the store. */
export type MemberRecord = Readonly<z.output<typeof recordSchema>>;

/** Parses a registration; undefined when the text is invalid. */
function parseMember(text: string): MemberRecord | undefined {
    try {
        return recordSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

const storeRetryMs = 500;

const addJitter = (world: World, milliseconds: number): number => milliseconds * (0.5 + world.random());

function createOwnRow(world: World, tick: Tick): MemberRow {
    const { settings, incarnation } = world;
    return {
        vm: settings.vm,
        incarnation,
        dataCentre: settings.dataCentre,
        callerAddress: settings.listen.advertise ?? settings.listen.callers,
        peerAddress: settings.listen.peers,
        state: "live",
        configVersion: toConfigVersion(0),
        hasConfirmedVersion: false,
        lastSeenAt: tick.now,
        notNewerSeenAt: undefined,
        storeConfirmedAt: undefined,
        isRegistered: false,
        isListed: false,
        isLeaving: false,
    };
}

function updateOwnRow(world: World, tick: Tick): void {
    const { members, node, configuration } = world.tables;
    const row = members.get(world.settings.vm);
    if (row) {
        row.lastSeenAt = tick.now;
        row.hasConfirmedVersion = configuration.hasBeenConfirmed;
        row.notNewerSeenAt = row.hasConfirmedVersion ? tick.now : undefined;
        row.storeConfirmedAt = configuration.confirmedAt;
        row.configVersion = configuration.version;
        row.state = node.state === "draining" ? "draining" : "live";
    }
}

function requestLease(world: World): void {
    const { memberLease } = world.tables.node;
    if (memberLease.isPending) {
        return;
    }
    memberLease.isPending = true;
    world.effects.append({
        kind: "callStore",
        purpose: { for: "lease", lease: "member", step: memberLease.id === undefined ? "grant" : "renew" },
        call: memberLease.id === undefined
            ? { kind: "grantLease", ttlSeconds: world.settings.membership.leaseSeconds }
            : { kind: "renewLease", lease: memberLease.id },
    });
}

function registerMember(world: World): void {
    const { node, members } = world.tables;
    const row = members.get(world.settings.vm);
    if (!row || node.memberLease.id === undefined) {
        return;
    }
    const record: MemberRecord = {
        vm: row.vm,
        incarnation: row.incarnation,
        dataCentre: row.dataCentre,
        callerAddress: row.callerAddress,
        peerAddress: row.peerAddress,
    };
    world.effects.append({
        kind: "callStore",
        purpose: { for: "member", step: "register" },
        call: {
            kind: "transaction",
            compare: [],
            success: [{
                kind: "put",
                key: `${memberPrefix}${row.vm}`,
                value: JSON.stringify(record),
                lease: node.memberLease.id,
            }],
        },
    });
}

function listMembers(world: World): void {
    world.effects.append({
        kind: "callStore",
        purpose: { for: "member", step: "list" },
        call: { kind: "range", range: { key: memberPrefix, prefix: true } },
    });
}

function handleLease(world: World, tick: Tick, outcome: StoreOutcome): void {
    const { memberLease, pendingRevocations } = world.tables.node;
    memberLease.isPending = false;
    if (pendingRevocations !== undefined) {
        // The lease is being revoked; a late renewal must not mark it as valid again.
        return;
    }
    if (outcome.result.err || outcome.result.val.kind !== "lease") {
        world.timers.schedule({
            name: "memberRetry",
            at: addMillis(tick.now, addJitter(world, storeRetryMs)),
        });
        return;
    }
    const { lease, ttlSeconds } = outcome.result.val;
    if (ttlSeconds <= 0) {
        logWarning(world.effects, "member:", "The lease of this VM expired in the store.", {});
        memberLease.id = undefined;
        requestLease(world);
        return;
    }
    const isNew = memberLease.id === undefined;
    memberLease.id = toLeaseId(lease);
    memberLease.validUntil = addMillis(outcome.sentAt, ttlSeconds * 1000);
    if (isNew) {
        registerMember(world);
    }
}

/** Adds or updates a member from its registration in the store. */
function applyRecord(world: World, record: MemberRecord): void {
    const { members } = world.tables;
    const member = members.get(record.vm);
    if (member) {
        if (record.vm !== world.settings.vm) {
            member.incarnation = record.incarnation as MemberRow["incarnation"];
            member.callerAddress = record.callerAddress;
            member.peerAddress = record.peerAddress;
        }
        member.isRegistered = true;
        return;
    }
    members.add({
        ...(record as unknown as Pick<MemberRow, "vm" | "incarnation" | "dataCentre">),
        callerAddress: record.callerAddress,
        peerAddress: record.peerAddress,
        state: "live",
        configVersion: toConfigVersion(0),
        hasConfirmedVersion: false,
        lastSeenAt: undefined,
        notNewerSeenAt: undefined,
        storeConfirmedAt: undefined,
        isRegistered: true,
        isListed: false,
        isLeaving: false,
    });
    logInfo(world.effects, "member:", "New member registered.", { vm: record.vm, address: record.peerAddress });
}

/**
 * Removes a member whose registration ended, unless one of its digests was received recently or it may return: it did
 * not announce a shutdown and its VM is still listed. Such members may be partitioned together and keep serving as a
 * majority of the members they know, so they have to count towards the majority that accepts a change.
 */
function removeRegistration(world: World, tick: Tick, vm: VmId): void {
    const row = world.tables.members.get(vm);
    if (!row || vm === world.settings.vm) {
        return;
    }
    row.isRegistered = false;
    const isSilent = row.lastSeenAt === undefined || tick.now - row.lastSeenAt > world.settings.membership.freshForMs;
    const canReturn = row.isListed && row.state !== "draining";
    if (isSilent && !canReturn) {
        world.tables.members.remove(vm);
        logInfo(world.effects, "member:", "Member removed.", { vm });
    }
}

/** Lists the members again, since a row cannot be decoded and may have been damaged on its way. */
function scheduleListAgain(world: World, tick: Tick, key: string): void {
    const { node } = world.tables;
    const delayMs = computeValueReadDelayMs({ sameReads: 0, failedReads: node.undecodableMemberLists });
    node.undecodableMemberLists += 1;
    logWarning(world.effects, "member:", "Row of a member cannot be decoded; the members are listed again.", {
        key,
        lists: node.undecodableMemberLists,
    });
    world.timers.schedule({ name: "watchRetry", at: addMillis(tick.now, addJitter(world, delayMs)), key: "members" });
}

function handleMemberList(world: World, tick: Tick, outcome: StoreOutcome): void {
    if (outcome.result.err || outcome.result.val.kind !== "rows") {
        world.timers.schedule({
            name: "watchRetry",
            at: addMillis(tick.now, addJitter(world, storeRetryMs)),
            key: "members",
        });
        return;
    }
    const rows = listAnswerRows(outcome.result.val);
    // A row that cannot be decoded still says that its VM is registered.
    const registeredVms = new Set(rows.map(row => row.key.slice(memberPrefix.length)));
    const undecodableKeys: string[] = [];
    for (const { key, value } of rows) {
        const record = parseMember(value);
        if (record) {
            applyRecord(world, record);
        }
        else {
            undecodableKeys.push(key);
        }
    }
    for (const row of world.tables.members.list()) {
        if (!registeredVms.has(row.vm)) {
            removeRegistration(world, tick, row.vm);
        }
    }
    const [undecodableKey] = undecodableKeys;
    if (undecodableKey === undefined) {
        world.tables.node.undecodableMemberLists = 0;
    }
    else {
        scheduleListAgain(world, tick, undecodableKey);
    }
    world.effects.append({
        kind: "openWatch",
        watch: "members",
        key: memberPrefix,
        prefix: true,
        fromRevision: outcome.result.val.revision + 1,
    });
}

function handleWatch(world: World, tick: Tick): void {
    for (const event of tick.events.list("watchDelivered")) {
        if (event.watch !== "members") {
            continue;
        }
        for (const change of event.changes) {
            if (change.value === undefined) {
                removeRegistration(world, tick, change.key.slice(memberPrefix.length) as VmId);
            }
            else {
                const record = parseMember(change.value);
                if (record) {
                    applyRecord(world, record);
                }
                else {
                    scheduleListAgain(world, tick, change.key);
                }
            }
        }
    }
    if (tick.events.list("watchEnded").some(event => event.watch === "members")) {
        world.timers.schedule({
            name: "watchRetry",
            at: addMillis(tick.now, addJitter(world, storeRetryMs)),
            key: "members",
        });
    }
}

function handleVmList(world: World, tick: Tick): void {
    const list = tick.events.list("vmListRead").at(-1);
    if (!list) {
        return;
    }
    const states = new Map(list.vms.map(vm => [vm.id, vm.state]));
    for (const row of world.tables.members.list()) {
        row.isListed = states.has(row.vm);
        row.isLeaving = states.get(row.vm) === "leaving";
        const isGone = !row.isListed && !row.isRegistered && row.vm !== world.settings.vm;
        if (
            isGone && (row.lastSeenAt === undefined || tick.now - row.lastSeenAt > world.settings.membership.freshForMs)
        ) {
            world.tables.members.remove(row.vm);
        }
    }
}

/**
 * Removes members that were still reachable when their registration ended and have not answered since. This is done
 * only while the store confirms the configuration to this process; otherwise a member may be registered without this
 * process having seen it.
 */
function removeSilentMembers(world: World, tick: Tick): void {
    const { members, configuration } = world.tables;
    const { freshForMs } = world.settings.membership;
    if (configuration.confirmedAt === undefined || tick.now - configuration.confirmedAt > freshForMs) {
        return;
    }
    for (const row of members.list()) {
        if (!row.isRegistered) {
            removeRegistration(world, tick, row.vm);
        }
    }
}

/** Lists the members that callers may be directed to. */
export function listLiveMembers(world: World, now: Millis): MemberRow[] {
    const { freshForMs } = world.settings.membership;
    return world.tables.members.list().filter(row =>
        row.state === "live"
        && !row.isLeaving
        && (row.vm === world.settings.vm || (row.lastSeenAt !== undefined && now - row.lastSeenAt <= freshForMs))
    );
}

/**
 * Reads: configuration. Writes: members, node (member lease).
 * Effects: store calls for the lease and the registration, the members watch, VM list reads, log lines.
 */
export function updateMembership(world: World, tick: Tick): void {
    const { node, members } = world.tables;
    const { membership, vmList } = world.settings;
    if (tick.number === 1) {
        members.add(createOwnRow(world, tick));
        requestLease(world);
        listMembers(world);
        world.timers.subscribe({ name: "leaseRenewal", everyMs: (membership.leaseSeconds * 1000) / 3 }, tick.now);
        if (vmList) {
            world.timers.subscribe({ name: "vmList", everyMs: vmList.everyMs, firstAfterMs: 0 }, tick.now);
        }
    }
    updateOwnRow(world, tick);
    if (tick.due.has("vmList")) {
        world.effects.append({ kind: "readVmList" });
    }
    const isLeaseWanted = node.state !== "stopped" && node.pendingRevocations === undefined;
    if (isLeaseWanted && (tick.due.has("leaseRenewal") || tick.due.has("memberRetry"))) {
        requestLease(world);
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("lease")) {
        if (purpose.lease === "member" && purpose.step !== "revoke") {
            handleLease(world, tick, outcome);
        }
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("member")) {
        if (purpose.step === "list") {
            handleMemberList(world, tick, outcome);
        }
        else if (outcome.result.err && isLeaseValid(node.memberLease, tick.now)) {
            registerMember(world);
        }
    }
    handleWatch(world, tick);
    if (tick.due.listKeys("watchRetry").includes("members")) {
        listMembers(world);
    }
    handleVmList(world, tick);
    if (tick.due.has("leaseRenewal")) {
        removeSilentMembers(world, tick);
    }
}

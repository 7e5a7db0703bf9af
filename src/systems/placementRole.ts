/** Leader election of the placement owner: one VM of the fleet holds the role by a store key on its member lease. */
import { logInfo, logWarning } from "../effects";
import { addMillis, type FencingToken, type LeaseId, toFencingToken } from "../ids";
import { listByRendezvous } from "../policy/rendezvous";
import type { StoreOutcome, StoreRow } from "../store";
import { isLeaseValid } from "../tables/node";
import type { Tick, World } from "../world";
import { listLiveMembers } from "./updateMembership";

export const placementKey = "placement/owner";

/** Members that request the role, by rendezvous hashing. The second one covers a first one without store access. */
const candidateCount = 2;
const requestRetryMs = 1000;

/** Value of the owner key. It lets a process recognise its own key when the store's answer was lost. */
interface OwnerRecord {
    readonly vm: string;
    readonly incarnation: string;
    readonly lease: LeaseId;
}

/** True while this process holds the role and its lease is valid by the local clock. */
export function isPlacementOwner(world: World, tick: Tick): boolean {
    const { node, orders: { role } } = world.tables;
    return role.state === "owner" && role.lease === node.memberLease.id && isLeaseValid(node.memberLease, tick.now);
}

function scheduleRequest(world: World, tick: Tick): void {
    const { role } = world.tables.orders;
    role.state = "standby";
    role.notBefore = addMillis(tick.now, requestRetryMs * (0.5 + world.random()));
}

/** Releases the role. The key is deleted only if it is still the one that this process created. */
export function releaseRole(world: World, tick: Tick, fencingToken: FencingToken, reason: string): void {
    const { role } = world.tables.orders;
    logInfo(world.effects, "place:", "Placement owner role released.", { fencing: fencingToken, reason });
    scheduleRequest(world, tick);
    role.state = "releasing";
    role.fencingToken = undefined;
    role.lease = undefined;
    role.releasedFencingToken = fencingToken;
    world.effects.append({
        kind: "callStore",
        purpose: { for: "placement", step: "release" },
        call: {
            kind: "transaction",
            compare: [{ key: placementKey, createRevision: fencingToken }],
            success: [{ kind: "delete", key: placementKey }],
        },
    });
}

function requestRole(world: World, lease: LeaseId): void {
    const record: OwnerRecord = { vm: world.settings.vm, incarnation: world.incarnation, lease };
    world.tables.orders.role.state = "requested";
    world.effects.append({
        kind: "callStore",
        purpose: { for: "placement", step: "acquire" },
        call: {
            kind: "transaction",
            compare: [{ key: placementKey, createRevision: 0 }],
            success: [
                { kind: "put", key: placementKey, value: JSON.stringify(record), lease },
                { kind: "range", range: { key: placementKey } },
            ],
            failure: [{ kind: "range", range: { key: placementKey } }],
        },
    });
}

function isOwnKey(world: World, row: StoreRow): boolean {
    const record = JSON.parse(row.value) as OwnerRecord;
    return record.incarnation === world.incarnation && record.lease === world.tables.node.memberLease.id;
}

function handleRequestAnswer(world: World, tick: Tick, outcome: StoreOutcome): void {
    const { node, orders: { role } } = world.tables;
    scheduleRequest(world, tick);
    const answer = outcome.result.ok ? outcome.result.val : undefined;
    const row = answer?.kind === "transaction" ? answer.reads[0]?.[0] : undefined;
    if (!row || !isOwnKey(world, row)) {
        return;
    }
    const fencingToken = toFencingToken(row.createRevision);
    if (fencingToken === role.releasedFencingToken) {
        releaseRole(world, tick, fencingToken, "An earlier release did not take effect.");
        return;
    }
    role.state = "owner";
    role.fencingToken = fencingToken;
    role.lease = node.memberLease.id;
    role.acquiredAt = tick.now;
    logInfo(world.effects, "place:", "Placement owner role acquired.", { fencing: fencingToken });
}

function canRequestRole(world: World, tick: Tick): boolean {
    const { node, orders: { role } } = world.tables;
    if (role.state !== "standby" || tick.now < role.notBefore || !isLeaseValid(node.memberLease, tick.now)) {
        return false;
    }
    const liveVms = listLiveMembers(world, tick.now).map(row => row.vm);
    return listByRendezvous(world.hasher, placementKey, liveVms).slice(0, candidateCount).includes(world.settings.vm);
}

/** Requests, confirms and releases the role. */
export function updatePlacementRole(world: World, tick: Tick): void {
    const { node, orders: { role } } = world.tables;
    for (const { purpose, outcome } of tick.events.listStoreReplies("placement")) {
        if (purpose.step === "acquire") {
            handleRequestAnswer(world, tick, outcome);
        }
        else if (role.state === "releasing") {
            role.state = "standby";
        }
    }
    if (role.state === "owner" && role.lease !== node.memberLease.id) {
        logWarning(world.effects, "place:", "Placement owner role lost; its lease has ended.", {
            fencing: role.fencingToken,
        });
        role.fencingToken = undefined;
        role.lease = undefined;
        scheduleRequest(world, tick);
    }
    if (node.state !== "live") {
        if (role.state === "owner" && role.fencingToken !== undefined) {
            releaseRole(world, tick, role.fencingToken, "This VM is shutting down.");
        }
        return;
    }
    if (tick.due.has("placement") && node.memberLease.id !== undefined && canRequestRole(world, tick)) {
        requestRole(world, node.memberLease.id);
    }
}

/** Placement: the owner role of this process and its unsettled orders to engines. */
import type { FencingToken, LeaseId, Millis, ModelId, ModelVersion, OrderId, TargetId } from "../ids";
import type { HoldReason } from "../policy/placement";

export interface OrderRow {
    readonly id: OrderId;
    readonly target: TargetId;
    readonly model: ModelId;
    readonly version: ModelVersion;
    readonly fencingToken: FencingToken;
    readonly sentAt: Millis;
    /** Reports received from this time on show whether the order took effect; earlier ones may be outdated. */
    effectVisibleAt: Millis;
}

/** State of the placement owner role in this process. */
export interface PlacementRole {
    state: "standby" | "requested" | "owner" | "releasing";
    /** Creation revision of the owner key. */
    fencingToken: FencingToken | undefined;
    /** Lease to which the owner key is attached. */
    lease: LeaseId | undefined;
    acquiredAt: Millis;
    /** Earliest time of the next request for the role. */
    notBefore: Millis;
    /** Fencing token of the last role released by this process. A key that still has this revision is not reused. */
    releasedFencingToken: FencingToken | undefined;
    /** True while placement needs frequent reports from the engines: an engine or an order is waiting. */
    needsReports: boolean;
}

export interface OrderFailures {
    readonly count: number;
    readonly notBefore: Millis;
}

const noFailures: OrderFailures = { count: 0, notBefore: 0 as Millis };

export interface OrdersTable {
    readonly role: PlacementRole;
    readonly size: number;
    get(target: TargetId): OrderRow | undefined;
    list(): readonly OrderRow[];
    /** Adds an order; an engine has at most one. */
    add(row: OrderRow): void;
    remove(target: TargetId): void;
    /** Returns the number of consecutive failed orders of an engine and the earliest time of its next order. */
    getFailures(target: TargetId): OrderFailures;
    recordFailures(target: TargetId, failures: OrderFailures): void;
    removeFailures(target: TargetId): void;
    /** Records why an engine keeps its model. Returns false when the reason has not changed. */
    recordHold(target: TargetId, reason: HoldReason): boolean;
    /** Removes the recorded reasons of all other engines. */
    removeHoldsExcept(targets: ReadonlySet<TargetId>): void;
}

/** Creates an empty table for a process that does not hold the role. */
export function createOrdersTable(): OrdersTable {
    const rows = new Map<TargetId, OrderRow>();
    const holds = new Map<TargetId, HoldReason>();
    const failures = new Map<TargetId, OrderFailures>();
    return {
        role: {
            state: "standby",
            fencingToken: undefined,
            lease: undefined,
            acquiredAt: 0 as Millis,
            notBefore: 0 as Millis,
            releasedFencingToken: undefined,
            needsReports: false,
        },
        get size() {
            return rows.size;
        },
        get: target => rows.get(target),
        list: () => [...rows.values()],
        add: row => {
            rows.set(row.target, row);
            holds.delete(row.target);
        },
        remove: target => {
            rows.delete(target);
        },
        getFailures: target => failures.get(target) ?? noFailures,
        recordFailures: (target, entry) => {
            failures.set(target, entry);
        },
        removeFailures: target => {
            failures.delete(target);
        },
        recordHold: (target, reason) => {
            const isNew = holds.get(target) !== reason;
            holds.set(target, reason);
            return isNew;
        },
        removeHoldsExcept: targets => {
            for (const target of holds.keys()) {
                if (!targets.has(target)) {
                    holds.delete(target);
                }
            }
        },
    };
}

/** Placement: the owner role of this process, and its orders to engines whose effect is not yet known. */
import type { FencingNumber, LeaseId, Millis, ModelId, ModelVersion, OrderId, TargetId } from "../ids";
import type { HoldReason } from "../policy/placement";

export interface OrderRow {
    readonly id: OrderId;
    readonly target: TargetId;
    readonly model: ModelId;
    readonly version: ModelVersion;
    readonly fencing: FencingNumber;
    readonly sentAt: Millis;
    /** A report received from this time on shows whether the order took effect. */
    visibleAt: Millis;
}

/** The placement owner role as this process holds it. */
export interface PlacementRole {
    state: "standby" | "requested" | "owner" | "releasing";
    /** Creation revision of the owner key. */
    fencing: FencingNumber | undefined;
    /** Lease that the owner key is attached to. */
    lease: LeaseId | undefined;
    acquiredAt: Millis;
    /** The role is not requested before this time. */
    notBefore: Millis;
    /** Fencing number that this process gave up; the key of that revision is never used again. */
    releasedFencing: FencingNumber | undefined;
    /** True while a decision waits for fresh reports of the engines. */
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
    /** Failed orders in a row of an engine, and the time before which it gets no other. */
    getFailures(target: TargetId): OrderFailures;
    recordFailures(target: TargetId, failures: OrderFailures): void;
    removeFailures(target: TargetId): void;
    /** Records why an engine keeps its model; returns false when the reason is the recorded one. */
    recordHold(target: TargetId, reason: HoldReason): boolean;
    /** Forgets the holds of all other engines. */
    removeHoldsExcept(targets: ReadonlySet<TargetId>): void;
}

/** Creates an empty table of a process without the role. */
export function createOrdersTable(): OrdersTable {
    const rows = new Map<TargetId, OrderRow>();
    const holds = new Map<TargetId, HoldReason>();
    const failures = new Map<TargetId, OrderFailures>();
    return {
        role: {
            state: "standby",
            fencing: undefined,
            lease: undefined,
            acquiredAt: 0 as Millis,
            notBefore: 0 as Millis,
            releasedFencing: undefined,
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

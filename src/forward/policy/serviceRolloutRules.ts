/** Rules of service rollouts: which state is in force, which versions may get requests, and when a state may change. */
import type { OrderRevision, ServerVersion } from "../ids";

/**
 * `observing`: the new version gets a small share; `shifting`: it gets all new requests, those under way on the old
 * version finish there; the other two are final.
 */
export type ServiceRolloutState = "observing" | "shifting" | "completed" | "rolledBack";

/** Order of the operators to move a service to another version. */
export interface ServiceOrder {
    readonly revision: OrderRevision;
    readonly to: ServerVersion;
    readonly periodMs: number;
}

/** A rollout as the store holds it. */
export interface StoredServiceRollout {
    readonly orderRevision: OrderRevision;
    readonly to: ServerVersion;
    readonly periodMs: number;
    readonly state: ServiceRolloutState;
    /** First observation of the order in milliseconds since the Unix epoch. */
    readonly observedAt: number;
    /** Version of the last completed rollout of the service; undefined before the first one. */
    readonly settled?: ServerVersion | undefined;
    /** Versions that were rolled back, or replaced by another order before they were completed. */
    readonly barred: readonly ServerVersion[];
}

/** What is known of the operators' order; a malformed one changes nothing. */
export type KnownOrder =
    | { readonly kind: "order"; readonly order: ServiceOrder; }
    | { readonly kind: "malformed"; }
    | { readonly kind: "none"; };

export const isFinalState = (state: ServiceRolloutState): boolean => state === "completed" || state === "rolledBack";

/** Most barred versions that are kept; their servers are gone long before. */
const maxBarred = 16;

/** Rollout that an order begins, after an earlier rollout of the service. */
export function createRollout(
    before: StoredServiceRollout | undefined,
    { revision, to, periodMs }: ServiceOrder,
    wallNow: number,
): StoredServiceRollout {
    const barred = before && !isFinalState(before.state) ? [...before.barred, before.to] : before?.barred ?? [];
    return {
        orderRevision: revision,
        to,
        periodMs,
        state: "observing",
        observedAt: wallNow,
        settled: before?.settled,
        barred: [...new Set(barred)].filter(version => version !== to).slice(-maxBarred),
    };
}

/** The rollout in its next state. */
export function moveRollout(rollout: StoredServiceRollout, state: ServiceRolloutState): StoredServiceRollout {
    if (state === "completed") {
        return { ...rollout, state, settled: rollout.to, barred: [] };
    }
    return state === "rolledBack"
        ? { ...rollout, state, barred: [...rollout.barred, rollout.to].slice(-maxBarred) }
        : { ...rollout, state };
}

/**
 * The rollout in force: that of the order, or of the row when the row is newer or the order cannot be read. An order
 * that was withdrawn before its rollout ended is rolled back.
 */
export function chooseRollout(
    known: KnownOrder,
    stored: StoredServiceRollout | undefined,
    current: StoredServiceRollout | undefined,
    wallNow: number,
): StoredServiceRollout | undefined {
    if (known.kind === "malformed") {
        return stored ?? current;
    }
    if (known.kind === "none") {
        const last = stored ?? current;
        return last && !isFinalState(last.state) ? moveRollout(last, "rolledBack") : last;
    }
    const { order } = known;
    if (stored && stored.orderRevision >= order.revision) {
        return stored;
    }
    return current?.orderRevision === order.revision ? current : createRollout(stored ?? current, order, wallNow);
}

/** True for a version that may get requests besides the ordered one. */
export const isOldVersion = (
    { to, settled, barred }: Pick<StoredServiceRollout, "to" | "settled" | "barred">,
    version: ServerVersion,
): boolean => version !== to && !barred.includes(version) && (settled === undefined || version === settled);

/** Time for a state to reach all processes through the store. */
const propagationMs = 1500;
/** Exchange intervals until the reports of all processes have arrived. */
const exchangesUntilReported = 1.5;
/** Time for the writes of the store. */
const writesMs = 300;
/** Earliest decision, as a fraction of the period. */
const minDecisionFraction = 0.4;

/**
 * Time from the order until the decision for a good version: as late as the period allows, since a version may turn
 * bad, with the time that the rest takes: the state reaches all processes, the requests on the old version end, and all
 * processes report so.
 */
export function computeDecisionMs(
    { periodMs, exchangeMs, responseMs }: {
        readonly periodMs: number;
        readonly exchangeMs: number;
        /** Time in which nearly all requests on the old version end. */
        readonly responseMs: number;
    },
): number {
    const restMs = propagationMs + responseMs + exchangesUntilReported * exchangeMs + writesMs;
    return Math.max(periodMs * minDecisionFraction, periodMs - restMs);
}

export interface RolloutFacts {
    readonly verdict: "bad" | "good" | "open";
    /** Registered servers of the ordered version that do not leave. */
    readonly newServers: number;
    /** Registered servers of other versions that may get requests. */
    readonly oldServers: number;
    readonly isDecisionDue: boolean;
    /** No process has requests under way on another version or sends any there. */
    readonly isOldVersionUnused: boolean;
}

const nextStates: Readonly<Record<ServiceRolloutState, (facts: RolloutFacts) => ServiceRolloutState>> = {
    observing: ({ verdict, newServers, oldServers, isDecisionDue }) => {
        if (verdict === "bad") {
            return "rolledBack";
        }
        const isDecided = oldServers === 0 || (verdict === "good" && isDecisionDue);
        return newServers > 0 && isDecided ? "shifting" : "observing";
    },
    shifting: ({ verdict, newServers, isOldVersionUnused }) => {
        if (verdict === "bad" || newServers === 0) {
            return "rolledBack";
        }
        return isOldVersionUnused ? "completed" : "shifting";
    },
    completed: () => "completed",
    rolledBack: () => "rolledBack",
};

/**
 * The state that follows from the facts; the same state when nothing changes.
 *
 * @example
 * chooseNextState("observing", { verdict: "bad", newServers: 2, oldServers: 2, isDecisionDue: false,
 *     isOldVersionUnused: false }); // "rolledBack"
 */
export const chooseNextState = (state: ServiceRolloutState, facts: RolloutFacts): ServiceRolloutState =>
    nextStates[state](facts);

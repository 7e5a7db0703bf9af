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
    /**
     * Versions that may get requests besides the ordered one: that of the last completed rollout, or those that were in
     * use when the first order came. Undefined, for all, when no server was registered then.
     */
    readonly base?: readonly ServerVersion[] | undefined;
}

/** What is known of the operators' order; a malformed one changes nothing. */
export type KnownOrder =
    | { readonly kind: "order"; readonly order: ServiceOrder; }
    | { readonly kind: "malformed"; }
    | { readonly kind: "none"; };

/** What a process knows when it sees an order. */
export interface OrderContext {
    /** Milliseconds since the Unix epoch. */
    readonly wallNow: number;
    /** Versions of the service's registered servers. */
    readonly versions: readonly ServerVersion[];
}

export const isFinalState = (state: ServiceRolloutState): boolean => state === "completed" || state === "rolledBack";

/**
 * Rollout that an order begins, after an earlier rollout of the service. A version that was rolled back, or replaced by
 * another order before it was completed, is in no base, so it gets nothing more.
 */
export function createRollout(
    before: StoredServiceRollout | undefined,
    { revision, to, periodMs }: ServiceOrder,
    { wallNow, versions }: OrderContext,
): StoredServiceRollout {
    const inUse = versions.filter(version => version !== to && version !== before?.to);
    const base = before?.base ?? (inUse.length > 0 ? inUse : undefined);
    return { orderRevision: revision, to, periodMs, state: "observing", observedAt: wallNow, base };
}

/** The rollout in its next state. */
export const moveRollout = (rollout: StoredServiceRollout, state: ServiceRolloutState): StoredServiceRollout =>
    state === "completed" ? { ...rollout, state, base: [rollout.to] } : { ...rollout, state };

/**
 * The rollout in force: that of the order, or of the row when the row is newer or the order cannot be read. An order
 * that was withdrawn before its rollout ended is rolled back.
 */
export function chooseRollout(
    known: KnownOrder,
    stored: StoredServiceRollout | undefined,
    current: StoredServiceRollout | undefined,
    context: OrderContext,
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
    return current?.orderRevision === order.revision ? current : createRollout(stored ?? current, order, context);
}

/** True for a version that may get requests besides the ordered one. */
export const isOldVersion = (
    { to, base }: Pick<StoredServiceRollout, "to" | "base">,
    version: ServerVersion,
): boolean => version !== to && (base === undefined || base.includes(version));

/** Time for a state to reach all processes through the store. */
const propagationMs = 2000;
/** Time until the decider has heard of all processes that they are done, also when one call is lost. */
const reportMs = 1200;
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
    { periodMs, responseMs }: {
        readonly periodMs: number;
        /** Time in which nearly all requests on the old version end. */
        readonly responseMs: number;
    },
): number {
    const restMs = propagationMs + responseMs + reportMs + writesMs;
    return Math.max(periodMs * minDecisionFraction, periodMs - restMs);
}

export interface RolloutFacts {
    readonly verdict: "bad" | "good" | "open";
    /** Servers of the ordered version are registered and do not leave. */
    readonly hasNewServers: boolean;
    /** Servers of other versions that may get requests are registered and do not leave. */
    readonly hasOldServers: boolean;
    readonly isDecisionDue: boolean;
    /** No process has requests under way on another version or sends any there. */
    readonly isOldVersionUnused: boolean;
}

const nextStates: Readonly<Record<ServiceRolloutState, (facts: RolloutFacts) => ServiceRolloutState>> = {
    observing: ({ verdict, hasNewServers, hasOldServers, isDecisionDue }) => {
        if (verdict === "bad") {
            return "rolledBack";
        }
        const isDecided = !hasOldServers || (verdict === "good" && isDecisionDue);
        return hasNewServers && isDecided ? "shifting" : "observing";
    },
    shifting: ({ verdict, hasNewServers, isOldVersionUnused }) => {
        if (verdict === "bad" || !hasNewServers) {
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
 * chooseNextState("observing", { verdict: "bad", hasNewServers: true, hasOldServers: true, isDecisionDue: false,
 *     isOldVersionUnused: false }); // "rolledBack"
 */
export const chooseNextState = (state: ServiceRolloutState, facts: RolloutFacts): ServiceRolloutState =>
    nextStates[state](facts);

/** Placement: decides which engines are ordered to load another model version and which have to wait. */
import type { ModelReference } from "../config/document";
import type { TargetId } from "../ids";

/** State of one engine according to its latest report and the orders sent to it. */
export interface EngineView {
    readonly target: TargetId;
    /** Model version that the configuration wants. */
    readonly wanted: ModelReference;
    /** Model version that the engine reports; undefined while the engine is unreachable. */
    readonly reported: ModelReference | undefined;
    /** True when the engine is ready, not leaving, without a pending order and not backed off after a failed one. */
    readonly canReceiveOrder: boolean;
    /** True when the engine is ready and has recovered from failures, so that it counts as serving its version. */
    readonly isServing: boolean;
    /** True while the engine reports a load or the outcome of an order to it is unknown. */
    readonly isLoading: boolean;
}

/**
 * `last_ready`: the engine is the last one that serves a version in use. `load_limit`: the maximum number of loads is
 * in progress.
 */
export type HoldReason = "last_ready" | "load_limit";

export type PlacementDecision =
    | { readonly kind: "order"; readonly target: TargetId; readonly wanted: ModelReference; }
    | { readonly kind: "hold"; readonly target: TargetId; readonly reason: HoldReason; };

export const formatReference = ({ model, version }: ModelReference): string => `${model}@${version}`;

export interface PlacementOptions {
    /** Versions, formatted by `formatReference`, that a route uses or that the configuration wants on an engine. */
    readonly inUse: ReadonlySet<string>;
    /** Maximum number of concurrent loads in the whole fleet. */
    readonly maxLoads: number;
}

/**
 * Decides for each engine that serves a version other than the wanted one. Versions that no engine serves yet are
 * loaded first.
 *
 * @example
 * listPlacementDecisions([], { inUse: new Set(), maxLoads: 2 }); // []
 */
export function listPlacementDecisions(
    engines: readonly EngineView[],
    { inUse, maxLoads }: PlacementOptions,
): PlacementDecision[] {
    const serving = new Map<string, Set<TargetId>>();
    for (const { target, reported, isServing } of engines) {
        if (reported && isServing) {
            const servedVersion = formatReference(reported);
            serving.set(servedVersion, (serving.get(servedVersion) ?? new Set()).add(target));
        }
    }
    const countServing = (reference: ModelReference): number => serving.get(formatReference(reference))?.size ?? 0;
    let loadCount = engines.filter(engine => engine.isLoading).length;

    function chooseDecision({ target, wanted, reported }: EngineView): PlacementDecision {
        const versionName = reported && formatReference(reported);
        const servingTargets = versionName === undefined ? undefined : serving.get(versionName);
        const otherServingCount = (servingTargets?.size ?? 0) - (servingTargets?.has(target) ? 1 : 0);
        if (versionName !== undefined && inUse.has(versionName) && otherServingCount === 0) {
            return { kind: "hold", target, reason: "last_ready" };
        }
        if (loadCount >= maxLoads) {
            return { kind: "hold", target, reason: "load_limit" };
        }
        loadCount += 1;
        servingTargets?.delete(target);
        return { kind: "order", target, wanted };
    }

    return engines
        .filter(({ canReceiveOrder, reported, wanted }) =>
            canReceiveOrder && reported !== undefined && formatReference(reported) !== formatReference(wanted)
        )
        .sort((left, right) => Math.min(1, countServing(left.wanted)) - Math.min(1, countServing(right.wanted)))
        .map(chooseDecision);
}

/** Placement: which engines are ordered to load another model version, and which must wait. */
import type { ModelReference } from "../config/document";
import type { TargetId } from "../ids";

/** What the placement owner knows of one engine. */
export interface EngineView {
    readonly target: TargetId;
    /** Model version that the configuration wants. */
    readonly wanted: ModelReference;
    /** Model version that the engine reports; absent while it cannot be reached. */
    readonly reported: ModelReference | undefined;
    /** True when the engine is ready, is not leaving, has no order under way and did not just ignore one. */
    readonly canBeOrdered: boolean;
    /** True when requests can rely on the engine for the version that it reports. */
    readonly isServing: boolean;
    /** True for a load that the engine reports and for an order whose effect is not yet known. */
    readonly isLoading: boolean;
}

/** `last_ready`: no other engine serves a version that is in use. `load_limit`: enough loads are under way. */
export type HoldReason = "last_ready" | "load_limit";

export type PlacementDecision =
    | { readonly kind: "order"; readonly target: TargetId; readonly wanted: ModelReference; }
    | { readonly kind: "hold"; readonly target: TargetId; readonly reason: HoldReason; };

export const formatReference = ({ model, version }: ModelReference): string => `${model}@${version}`;

export interface PlacementOptions {
    /** Versions, as `formatReference` writes them, that routes name or that the configuration wants. */
    readonly inUse: ReadonlySet<string>;
    /** Loads that may be under way at once over the whole fleet. */
    readonly maxLoads: number;
}

/**
 * Decides for each engine that serves another version than the wanted one. Versions that no engine serves yet
 * are loaded first.
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
            const name = formatReference(reported);
            serving.set(name, (serving.get(name) ?? new Set()).add(target));
        }
    }
    const computeServing = (reference: ModelReference): number => serving.get(formatReference(reference))?.size ?? 0;
    let loads = engines.filter(engine => engine.isLoading).length;

    function chooseDecision({ target, wanted, reported }: EngineView): PlacementDecision {
        const name = reported && formatReference(reported);
        const others = name === undefined ? undefined : serving.get(name);
        const otherCount = (others?.size ?? 0) - (others?.has(target) ? 1 : 0);
        if (name !== undefined && inUse.has(name) && otherCount === 0) {
            return { kind: "hold", target, reason: "last_ready" };
        }
        if (loads >= maxLoads) {
            return { kind: "hold", target, reason: "load_limit" };
        }
        loads += 1;
        others?.delete(target);
        return { kind: "order", target, wanted };
    }

    return engines
        .filter(({ canBeOrdered, reported, wanted }) =>
            canBeOrdered && reported !== undefined && formatReference(reported) !== formatReference(wanted)
        )
        .sort((left, right) => Math.min(1, computeServing(left.wanted)) - Math.min(1, computeServing(right.wanted)))
        .map(chooseDecision);
}

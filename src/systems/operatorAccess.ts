/** Identifies the operator who sent a command. */
import type { EventOf } from "../events";
import { canTrustKeys } from "../policy/freshness";
import type { World } from "../world";

export type OperatorAccess =
    /** `name` is the operator's label with the first digits of the key's hash. */
    | { readonly kind: "operator"; readonly name: string; }
    /** Access by the fleet secret, which is valid only while there is no configuration. */
    | { readonly kind: "bootstrap"; readonly name: string; }
    | { readonly kind: "none"; };

/** Finds the operator of a command in the active configuration. */
export function findOperator(
    world: World,
    { command, hasFleetSecret }: Pick<EventOf<"operatorCommandReceived">, "command" | "hasFleetSecret">,
): OperatorAccess {
    const { version, document } = world.tables.configuration;
    if (version === 0) {
        return hasFleetSecret ? { kind: "bootstrap", name: "bootstrap" } : { kind: "none" };
    }
    const { key } = command;
    if (key === undefined || !Object.hasOwn(document.operators, key)) {
        return { kind: "none" };
    }
    const label = document.operators[key]?.label ?? "";
    return { kind: "operator", name: `${label === "" ? "operator" : label} (${key.slice(0, 8)})` };
}

/** True while operator keys can be checked: no configuration exists yet, or its freshness suffices to check keys. */
export function canTrustOperators(world: World): boolean {
    const { version, freshness } = world.tables.configuration;
    return version === 0 || canTrustKeys(freshness);
}

/** Prefix updates between peers: which reused prefixes this process tells, and how it takes those of others. */
import type { Millis } from "../ids";
import type { PrefixUpdate } from "../peers";
import { formatPrefixId, parsePrefixId } from "../policy/prefix";
import type { World } from "../world";

/** Takes the updates that travel in the exchanges of this round. */
export function listPrefixUpdates(world: World): PrefixUpdate[] {
    return world.tables.prefixes
        .takeReused(world.settings.membership.prefixUpdatesPerExchange)
        .map(({ prefix, target, incarnation }) => ({ target, incarnation, prefix: formatPrefixId(prefix) }));
}

/** Applies updates of a peer. Only those that name the incarnation known to be alive count. */
export function applyPrefixUpdates(world: World, now: Millis, updates: readonly PrefixUpdate[]): void {
    for (const update of updates) {
        const prefix = parsePrefixId(update.prefix);
        const target = world.tables.targets.get(update.target);
        if (prefix === undefined || !target || target.incarnation !== update.incarnation) {
            continue;
        }
        const { target: id, incarnation } = update;
        world.tables.prefixes.addExpected(prefix, { target: id, incarnation, seenAt: now });
    }
}

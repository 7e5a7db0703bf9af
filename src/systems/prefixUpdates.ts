/** Prefix updates between peers: sends reused prefixes of this process and applies those of peers. */
import type { Millis } from "../ids";
import type { PrefixUpdate } from "../peers";
import { formatPrefixId, parsePrefixId } from "../policy/prefix";
import type { World } from "../world";

/** Lists the updates to send in this round of exchanges and removes them from the backlog. */
export function listPrefixUpdates(world: World): PrefixUpdate[] {
    return world.tables.prefixes
        .takeUnreportedReuses(world.settings.membership.prefixUpdatesPerExchange)
        .map(({ prefix, target, incarnation }) => ({ target, incarnation, prefix: formatPrefixId(prefix) }));
}

/** Applies updates of a peer. Updates for another than the current incarnation of a target are ignored. */
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

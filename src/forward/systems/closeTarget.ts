/** Cleanup after a target is removed. Shared by systems. */
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** Removes the target's cached parts and rollouts and closes its idle connections. Its running requests continue. */
export function closeForwardTarget(world: ForwardWorld, row: ForwardTargetRow): void {
    const { id } = row.registration;
    world.tables.cachedParts.removeTarget(id);
    world.tables.cachedParts.peerReportedAt.delete(id);
    world.tables.rollouts.rows.delete(id);
    world.tables.rollouts.lastOrders.delete(id);
    world.effects.append({ kind: "closeTarget", target: id });
}

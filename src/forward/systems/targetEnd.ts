/** What a target leaves behind when it is gone. Shared by the systems that notice it. */
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** Forgets what the target held and closes its idle connections. Requests that run there go on. */
export function closeForwardTarget(world: ForwardWorld, row: ForwardTargetRow): void {
    const { id } = row.registration;
    world.tables.heldParts.removeTarget(id);
    world.tables.heldParts.toldAt.delete(id);
    world.tables.rollouts.rows.delete(id);
    world.tables.rollouts.recorded.delete(id);
    world.effects.append({ kind: "closeTarget", target: id });
}

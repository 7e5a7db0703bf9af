/** Tells callers which addresses of the fleet to use. */
import type { ForwardTick } from "../events";
import type { ForwardWorld } from "../world";

/** Addresses in one answer, at most. */
const maxAddresses = 64;

/**
 * Reads: members, node. Effects: answers to callers.
 */
export function answerAddresses(world: ForwardWorld, tick: ForwardTick): void {
    const { members, node } = world.tables;
    for (const { call } of tick.events.list("addressesAsked")) {
        const live = members.list().filter(member => member.state === "live").map(member => member.address);
        const own = world.settings.listen.callers;
        const isMissing = node.state === "live" && !live.includes(own);
        const addresses = (isMissing ? [own, ...live] : live).slice(0, maxAddresses);
        world.effects.append({ kind: "answerAddresses", call, addresses });
    }
}

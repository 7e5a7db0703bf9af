/** Tells callers which addresses of the fleet to use. */
import type { ForwardTick } from "../events";
import type { ForwardMemberRow } from "../tables/members";
import type { ForwardWorld } from "../world";
import { computePeerStaleMs } from "./accountUsage";

/** Addresses in one answer, at most. */
const maxAddresses = 64;

/** A member that no exchange has reached lately is left out before its lease ends, unless none is heard. */
function listHeard(world: ForwardWorld, tick: ForwardTick, live: readonly ForwardMemberRow[]): ForwardMemberRow[] {
    const { peers } = world.tables;
    const staleMs = computePeerStaleMs(world);
    return live.filter(({ vm }) => {
        const peer = peers.rows.get(vm);
        return vm === world.settings.vm || !peer || tick.now - peer.heardAt <= staleMs;
    });
}

/**
 * Reads: members, peers, node. Effects: answers to callers.
 */
export function answerAddresses(world: ForwardWorld, tick: ForwardTick): void {
    const { members, node } = world.tables;
    for (const { call } of tick.events.list("addressesAsked")) {
        const live = members.list().filter(member => member.state === "live");
        const heard = listHeard(world, tick, live);
        const own = world.settings.listen.callers;
        const listed = (heard.length > 1 ? heard : live).map(member => member.address);
        const isMissing = node.state === "live" && !listed.includes(own);
        const addresses = (isMissing ? [own, ...listed] : listed).slice(0, maxAddresses);
        world.effects.append({ kind: "answerAddresses", call, addresses });
    }
}

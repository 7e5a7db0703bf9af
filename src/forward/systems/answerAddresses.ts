/** Answers requests for the addresses of the fleet. */
import type { ForwardTick } from "../events";
import type { ForwardMemberRow } from "../tables/members";
import type { ForwardWorld } from "../world";
import { computePeerStaleMs } from "./accountUsage";

/** Maximum number of addresses in one answer. */
const maxAddresses = 64;

/**
 * Leaves out members whose last state is stale, so that an unreachable member does not stay listed until its lease
 * expires. If no other member remains, the answer lists all live ones.
 */
function listReachable(world: ForwardWorld, tick: ForwardTick, live: readonly ForwardMemberRow[]): ForwardMemberRow[] {
    const { peers } = world.tables;
    const staleMs = computePeerStaleMs(world);
    return live.filter(({ vm }) => {
        const peer = peers.rows.get(vm);
        return vm === world.settings.vm || !peer || tick.now - peer.stateReceivedAt <= staleMs;
    });
}

/**
 * Reads: members, peers, node. Effects: answers to callers.
 */
export function answerAddresses(world: ForwardWorld, tick: ForwardTick): void {
    const { members, node } = world.tables;
    for (const { call } of tick.events.list("addressesRequested")) {
        const live = members.list().filter(member => member.state === "live");
        const reachable = listReachable(world, tick, live);
        const ownAddress = world.settings.listen.callers;
        const listed = (reachable.length > 1 ? reachable : live).map(member => member.address);
        const isOwnAddressMissing = node.state === "live" && !listed.includes(ownAddress);
        const addresses = (isOwnAddressMissing ? [ownAddress, ...listed] : listed).slice(0, maxAddresses);
        world.effects.append({ kind: "answerAddresses", call, addresses });
    }
}

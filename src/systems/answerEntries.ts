/** Answers `/v1/entries`: the addresses a caller should use, in order. */
import { listByRendezvous } from "../policy/rendezvous";
import type { Tick, World } from "../world";
import { findAccount } from "./admitRequests";
import { listLiveMembers } from "./updateMembership";

/**
 * Reads: members, configuration. Writes: nothing.
 * Effects: answers to callers. The order depends on the client account, so that the prefix rows and grants of an
 * account are concentrated on few VMs.
 */
export function answerEntries(world: World, tick: Tick): void {
    for (const { call, keyHash } of tick.events.list("entriesRequested")) {
        const liveMembers = listLiveMembers(world, tick.now);
        const account = findAccount(world.tables.configuration.document, keyHash);
        const order = listByRendezvous(world.hasher, account ?? "", liveMembers.map(row => row.vm));
        const addresses = order.map(vm => world.tables.members.get(vm)?.callerAddress ?? "");
        const body = { entries: addresses, keep_seconds: world.settings.membership.entriesKeepSeconds };
        world.effects.append({ kind: "answerCaller", call, status: 200, body });
    }
}

/** Pushes committed changes to all members and answers the operator once a majority has applied them. */
import { addMillis } from "../ids";
import type { OperatorAnswer } from "../operators";
import type { ChangeRow, PreparedChange } from "../tables/changes";
import type { Tick, World } from "../world";
import { sendAnswer } from "./answerOperators";

/** Timeout for confirmations by members; changes should be active on every VM within 3 s. */
const confirmTimeoutMs = 3000;

/** Answers the operator and removes the change. */
export function endChange(world: World, row: ChangeRow, answer: OperatorAnswer): void {
    world.tables.changes.remove(row.call);
    sendAnswer(world, row.call, answer);
}

function sendPushes(world: World, prepared: PreparedChange): void {
    const { version, change } = prepared;
    for (const member of world.tables.members.list()) {
        if (member.vm !== world.settings.vm) {
            world.effects.append({
                kind: "callPeer",
                purpose: { for: "push", vm: member.vm, version },
                address: member.peerAddress,
                request: { kind: "pushConfiguration", body: { kind: "change", version, change } },
            });
        }
    }
}

/** Pushes a committed change to every peer and starts waiting for a majority. */
export function startConfirmation(world: World, tick: Tick, row: ChangeRow, prepared: PreparedChange): void {
    row.state = "confirming";
    sendPushes(world, prepared);
    world.timers.schedule({ name: "changeConfirmation", at: addMillis(tick.now, confirmTimeoutMs), key: row.call });
}

/** Counts the members that have applied the version, by their answers to the push and by their digests. */
function checkConfirmations(world: World, row: ChangeRow, prepared: PreparedChange, isOverdue: boolean): void {
    const members = world.tables.members.list();
    for (const member of members) {
        if (member.configVersion >= prepared.version) {
            row.confirmed.add(member.vm);
        }
    }
    const confirmedCount = members.filter(member => row.confirmed.has(member.vm)).length;
    const isMajority = confirmedCount * 2 > members.length;
    if (isMajority || isOverdue) {
        endChange(world, row, {
            kind: "changed",
            state: isMajority ? "accepted" : "committed",
            version: prepared.version,
            confirmed: confirmedCount,
            members: members.length,
        });
    }
}

function handlePushReplies(world: World, tick: Tick): void {
    const confirmingRows = world.tables.changes.list("confirming");
    for (const { purpose, result } of tick.events.listPeerReplies("push")) {
        const version = result.ok && result.val.kind === "pushConfiguration" ? result.val.body.version : 0;
        for (const row of confirmingRows) {
            if (row.prepared && version >= row.prepared.version) {
                row.confirmed.add(purpose.vm);
            }
        }
    }
}

/**
 * Reads: members. Writes: changes.
 * Effects: answers to operators.
 */
export function confirmChanges(world: World, tick: Tick): void {
    handlePushReplies(world, tick);
    const overdueCalls = new Set(tick.due.listKeys("changeConfirmation"));
    for (const row of world.tables.changes.list("confirming")) {
        if (row.prepared) {
            checkConfirmations(world, row, row.prepared, overdueCalls.has(row.call));
        }
    }
}

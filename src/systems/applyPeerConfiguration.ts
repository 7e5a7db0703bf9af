/** Applies configurations that were pushed by peers or pulled from them, and answers pulls of peers. */
import { logInfo } from "../effects";
import type { CallId } from "../ids";
import type { ConfigurationUpdate, PeerAnswer } from "../peers";
import type { Tick, World } from "../world";
import { applyChangeRecord, applyDocument, loadChanges } from "./applyConfiguration";

type UpdateHandlers = {
    readonly [Kind in ConfigurationUpdate["kind"]]: (
        world: World,
        update: Extract<ConfigurationUpdate, { readonly kind: Kind; }>,
    ) => void;
};

const updateHandlers: UpdateHandlers = {
    snapshot: (world, { version, document }) => {
        applyDocument(world, version, document, "peer");
    },
    change: (world, { version, change }) => {
        applyChangeRecord(world, version, change, "peer");
    },
};

function applyUpdate(world: World, update: ConfigurationUpdate): void {
    (updateHandlers[update.kind] as (world: World, update: ConfigurationUpdate) => void)(world, update);
}

/** Applies a pushed update. If earlier changes are missing, they are read from the store. */
function applyPush(world: World, update: ConfigurationUpdate): void {
    applyUpdate(world, update);
    if (update.version > world.tables.configuration.version) {
        logInfo(world.effects, "config:", "Pushed configuration deferred; loading earlier changes from the store.", {
            version: update.version,
        });
        loadChanges(world);
    }
}

function answerPull(world: World, call: CallId, above: number): void {
    const { version, document } = world.tables.configuration;
    const answer: PeerAnswer = {
        kind: "pullConfiguration",
        body: version > above ? { update: { kind: "snapshot", version, document } } : {},
    };
    world.effects.append({ kind: "answerPeer", call, answer });
}

/**
 * Runs first in the tick, so that a key withdrawn by a pushed change is rejected in the same tick.
 *
 * Reads: configuration. Writes: configuration, targets (rows of the configuration).
 * Effects: answers to peers, store reads, log lines.
 */
export function applyPeerConfiguration(world: World, tick: Tick): void {
    for (const { call, request } of tick.events.list("peerCallReceived")) {
        if (request.kind === "pushConfiguration") {
            applyPush(world, request.body);
            const { version } = world.tables.configuration;
            world.effects.append({
                kind: "answerPeer",
                call,
                answer: { kind: "pushConfiguration", body: { version } },
            });
        }
        if (request.kind === "pullConfiguration") {
            answerPull(world, call, request.body.above);
        }
    }
    for (const { result } of tick.events.listPeerReplies("pull")) {
        const answer = result.ok ? result.val : undefined;
        if (answer?.kind === "pullConfiguration" && answer.body.update) {
            applyUpdate(world, answer.body.update);
        }
    }
}

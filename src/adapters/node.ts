/** Creates and starts a `serve` process: tables, systems, timers and all adapters. */
import { randomUUID } from "node:crypto";
import type { Settings } from "../config/settings";
import { createEffectQueue, type EffectHandlers } from "../effects";
import { toIncarnation } from "../ids";
import { canTrustKeys } from "../policy/freshness";
import { createRunner } from "../runner";
import { systems } from "../systems";
import { createTables } from "../tables";
import { createTimerService } from "../timers";
import type { World } from "../world";
import { createCallerServer } from "./callerServer";
import { createProcessClock } from "./clock";
import { loadHasher } from "./hasher";
import { createLogWriter, type LogWriter } from "./logger";
import { createMetrics } from "./metrics";
import { createOpenRequests } from "./openRequests";
import { createOperatorServer } from "./operatorServer";
import { createPeerClient } from "./peerClient";
import { createPeerServer } from "./peerServer";
import { createStoreClient } from "./storeClient";
import { createTargetClient } from "./targetClient";
import { createTargetReader } from "./targetReader";
import { readVmList } from "./vmListClient";

export interface NodeOptions {
    readonly settings: Settings;
    /** Called when the process has drained and may exit; the default does nothing. */
    readonly onExit?: (code: number) => void;
    /** Receives log lines; the default writes JSON lines to standard error. */
    readonly writeLog?: LogWriter;
}

export interface RunningNode {
    /** Starts a graceful shutdown. */
    drain(): void;
    /** Stops immediately, without draining. */
    stop(): void;
}

/**
 * Starts a process of the router in completions mode.
 *
 * @example
 * const node = await startNode({ settings, onExit: code => process.exit(code) });
 * process.once("SIGTERM", () => node.drain());
 */
export async function startNode({ settings, onExit, writeLog }: NodeOptions): Promise<RunningNode> {
    const clock = createProcessClock();
    const world: World = {
        settings,
        incarnation: toIncarnation(randomUUID()),
        hasher: await loadHasher(),
        random: Math.random,
        tables: createTables(settings),
        effects: createEffectQueue(),
        timers: createTimerService(),
    };
    const post: Parameters<typeof createTargetReader>[0]["post"] = event => {
        runner.post(event);
    };
    const metrics = createMetrics();
    const openRequests = createOpenRequests();
    const callers = createCallerServer({
        settings,
        clock,
        post,
        openRequests,
        isReady: () => world.tables.node.state === "live" && canTrustKeys(world.tables.configuration.freshness),
        getMetrics: metrics.format,
    });
    const peers = createPeerServer({ listen: settings.listen.peers, fleetSecret: settings.fleetSecret, post });
    const operators = createOperatorServer({ settings, post });
    const peerClient = createPeerClient({ fleetSecret: settings.fleetSecret, post });
    const store = createStoreClient({ ...settings.store, clock, post });
    const targets = createTargetClient({ settings, post, openRequests });
    const targetReader = createTargetReader({ post, clock });

    function stop(): void {
        runner.stop();
        callers.stop();
        peers.stop();
        operators.stop();
        peerClient.close();
        store.close();
        targets.close();
        targetReader.close();
    }

    const handlers: EffectHandlers = {
        refuseRequest: callers.refuse,
        answerCaller: callers.answer,
        replayAnswer: callers.replay,
        relayAnswer: targets.relay,
        interruptAnswer: callers.interrupt,
        releaseRequest: ({ request }) => {
            targets.release(request);
            openRequests.remove(request);
        },
        sendRequest: targets.send,
        resumeStream: targets.resume,
        cancelAttempt: targets.cancel,
        readTarget: targetReader.readState,
        followCacheEvents: targetReader.followCacheEvents,
        stopCacheEvents: ({ target }) => {
            targetReader.stopCacheEvents(target);
        },
        sendOrder: targetReader.sendOrder,
        callStore: store.call,
        openWatch: store.openWatch,
        closeWatch: ({ watch }) => {
            store.closeWatch(watch);
        },
        readVmList: () => {
            if (settings.vmList) {
                void readVmList(settings.vmList.address, post);
            }
        },
        callPeer: peerClient.call,
        answerPeer: peers.answer,
        answerOperator: operators.answer,
        writeLog: writeLog ?? createLogWriter(settings),
        addCount: metrics.addCount,
        recordValue: metrics.recordValue,
        closeListeners: callers.closeListener,
        exitProcess: ({ code }) => {
            stop();
            onExit?.(code);
        },
    };
    const runner = createRunner({ world, systems, handlers, clock });
    await callers.start();
    await peers.start();
    await operators.start();
    runner.start();
    return {
        drain: () => {
            post({ kind: "drainRequested" });
        },
        stop,
    };
}

/** Creates and starts a `serve` process: tables, systems, timers and all adapters. */
import { randomUUID } from "node:crypto";
import type { Settings } from "../config/settings";
import { createEffectQueue, type EffectHandlers } from "../effects";
import { toIncarnation } from "../ids";
import { computeClientLimits } from "../policy/clientLimits";
import { canTrustKeys } from "../policy/freshness";
import { createRunner } from "../runner";
import { systems } from "../systems";
import { createTables } from "../tables";
import { createTimerService } from "../timers";
import type { World } from "../world";
import { createAnsweredUploads, createUploadReporter } from "./answeredUploads";
import { createCallerServer } from "./callerServer";
import { createEndReporter } from "./checkedEnds";
import { createClientBounds } from "./clientBounds";
import { createClientReporter } from "./clientReports";
import { createProcessClock } from "./clock";
import { createFailureReporter } from "./failures";
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
    const write = writeLog ?? createLogWriter({ ...settings, ...settings.log });
    const reportFailure = createFailureReporter({ writeLog: write, metrics });
    const { connections } = settings.limits;
    const clients = createClientBounds({
        limits: computeClientLimits({ connections, ...settings.clients }),
        report: createClientReporter({ writeLog: write, metrics }),
        reportFailure,
    });
    const openRequests = createOpenRequests();
    const callerServer = createCallerServer({
        settings,
        clock,
        post,
        openRequests,
        isReady: () => world.tables.node.state === "live" && canTrustKeys(world.tables.configuration.freshness),
        getMetrics: metrics.format,
        clients,
        reportFailure,
    });
    const { fleetSecret, listen } = settings;
    const peerServer = createPeerServer({ listen: listen.peers, fleetSecret, post, clients, reportFailure });
    const operatorServer = createOperatorServer({ settings, post, clients, reportFailure });
    const peerClient = createPeerClient({ fleetSecret, post });
    const storeClient = createStoreClient({ ...settings.store, clock, post, reportFailure });
    const targetClient = createTargetClient({
        settings,
        post,
        openRequests,
        answers: clients.answers,
        uploads: createAnsweredUploads({
            maxBytes: clients.limits.answeredUploadBytes,
            ...createUploadReporter({ writeLog: write, metrics }),
            reportFailure,
        }),
        onEndChecked: createEndReporter({ writeLog: write, metrics }),
        reportFailure,
    });
    const targetReader = createTargetReader({ post, clock, reportFailure });

    function stop(): void {
        runner.stop();
        callerServer.stop();
        peerServer.stop();
        operatorServer.stop();
        peerClient.close();
        storeClient.close();
        targetClient.close();
        targetReader.close();
    }

    const handlers: EffectHandlers = {
        refuseRequest: callerServer.refuse,
        answerCaller: callerServer.answer,
        replayAnswer: callerServer.replay,
        relayAnswer: targetClient.relay,
        interruptAnswer: callerServer.interrupt,
        releaseRequest: ({ request }) => {
            targetClient.release(request);
            openRequests.remove(request);
        },
        sendRequest: targetClient.send,
        resumeStream: targetClient.resume,
        cancelAttempt: targetClient.cancel,
        readTarget: targetReader.readState,
        followCacheEvents: targetReader.followCacheEvents,
        stopCacheEvents: ({ target }) => {
            targetReader.stopCacheEvents(target);
        },
        sendOrder: targetReader.sendOrder,
        callStore: storeClient.call,
        openWatch: storeClient.openWatch,
        closeWatch: ({ watch }) => {
            storeClient.closeWatch(watch);
        },
        readVmList: () => {
            if (settings.vmList) {
                void readVmList(settings.vmList.address, post);
            }
        },
        callPeer: peerClient.call,
        answerPeer: peerServer.answer,
        answerOperator: operatorServer.answer,
        writeLog: write,
        addCount: metrics.addCount,
        recordValue: metrics.recordValue,
        updateGauge: metrics.updateGauge,
        closeListeners: callerServer.closeListener,
        exitProcess: ({ code }) => {
            stop();
            onExit?.(code);
        },
    };
    const runner = createRunner({ world, systems, handlers, clock, reportFailure });
    await callerServer.start();
    await peerServer.start();
    await operatorServer.start();
    runner.start();
    return {
        drain: () => {
            post({ kind: "drainRequested" });
        },
        stop,
    };
}

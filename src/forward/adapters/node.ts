/** Assembles one process of the forwarding mode: tables, systems, timers and all adapters. */
import type * as http from "node:http";
import { createAnsweredUploads, createUploadReporter } from "../../adapters/answeredUploads";
import { createEndReporter } from "../../adapters/checkedEnds";
import { type ClientBounds, createClientBounds } from "../../adapters/clientBounds";
import { createClientReporter } from "../../adapters/clientReports";
import { createProcessClock } from "../../adapters/clock";
import { createFailureReporter } from "../../adapters/failures";
import { loadHasher } from "../../adapters/hasher";
import { createHttpServer, startListening } from "../../adapters/httpServer";
import { createLogWriter, type LogWriter } from "../../adapters/logger";
import { createMetrics, type Metrics } from "../../adapters/metrics";
import { createEffectQueue } from "../../effects";
import { computeClientLimits } from "../../policy/clientLimits";
import { createTickRunner, type FailureReporter } from "../../runner";
import { createTimerService } from "../../timers";
import type { ForwardEffect, ForwardHandlers } from "../effects";
import { createForwardBatch, type ForwardBatch, type ForwardEvent } from "../events";
import type { PlatformPorts } from "../ports";
import type { ForwardSettings } from "../settings";
import { forwardSystems } from "../systems";
import { createForwardTables } from "../tables";
import type { ForwardWorld } from "../world";
import { createForwardClient } from "./forwardClient";
import { createFrontServer } from "./frontServer";
import { createOpenForwardRequests } from "./openForwardRequests";
import { createPeerLink } from "./peerLink";

/** Fraction of the maximum caching time for address lists, so that callers soon stop using a VM that has failed. */
const addressTtlFraction = 0.16;

export interface ForwardNodeOptions {
    readonly settings: ForwardSettings;
    readonly ports: PlatformPorts;
    readonly onExit?: (code: number) => void;
    /** Receives log lines; the default writes JSON lines to standard output. */
    readonly writeLog?: LogWriter;
}

export interface RunningForwardNode {
    /** Begins a graceful shutdown. */
    drain(): void;
    /** Applies settings that were read again; listener addresses keep their values. */
    reload(settings: ForwardSettings): void;
    /** Records that settings were read again but have a fault, so that those in force are kept. */
    refuseReload(): void;
    /** Stops at once. */
    stop(): void;
}

function createMetricsServer(metrics: Metrics, clients: ClientBounds, reportFailure: FailureReporter): http.Server {
    async function handleRequest(_request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const text = await metrics.format();
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        response.end(text);
    }
    return createHttpServer({ part: "metrics", listener: "metrics", clients, handle: handleRequest, reportFailure });
}

/** Completes settings that have no value by what the terms of the platform ask for. */
function applyAgreements(settings: ForwardSettings, ports: Pick<PlatformPorts, "decodeAgreements">): ForwardSettings {
    const { admitsBySlots } = ports.decodeAgreements(settings.agreements);
    return { ...settings, admission: { ...settings.admission, bySlots: settings.admission.bySlots ?? admitsBySlots } };
}

/**
 * Starts one process in the forwarding mode.
 *
 * @example
 * const node = await startForwardNode({ settings, ports: platformPorts, onExit: code => process.exit(code) });
 * process.once("SIGTERM", () => node.drain());
 */
export async function startForwardNode(
    { settings, ports, onExit, writeLog }: ForwardNodeOptions,
): Promise<RunningForwardNode> {
    const clock = createProcessClock();
    const world: ForwardWorld = {
        settings: applyAgreements(settings, ports),
        startedAt: clock.getWallNow(),
        hasher: await loadHasher(),
        random: Math.random,
        tables: createForwardTables(),
        effects: createEffectQueue<ForwardEffect>(),
        timers: createTimerService(),
    };
    const post = (event: ForwardEvent): void => {
        runner.post(event);
    };
    const metrics = createMetrics();
    const openRequests = createOpenForwardRequests();
    const { listen, store: storeSettings, bounds, log, vm } = settings;
    const write = writeLog
        ?? createLogWriter({ log, vm, stream: "stdout", ...log });
    const reportFailure = createFailureReporter({ writeLog: write, metrics });
    const clients = createClientBounds({
        limits: computeClientLimits(settings.clients),
        report: createClientReporter({ writeLog: write, metrics }),
        reportFailure,
    });
    const metricsServer = createMetricsServer(metrics, clients, reportFailure);
    const front = createFrontServer({
        address: listen.callers,
        codec: ports.headers,
        clock,
        post,
        openRequests,
        clients,
        onIncompleteRequest: reason => {
            const message = "Request could not be read completely.";
            write({ kind: "writeLog", level: "info", prefix: "admit:", message, fields: { reason } });
        },
        onInterruptedResponse: ({ request, framing, pendingBytes }) => {
            const name = "interrupted_responses_total";
            metrics.addCount({ kind: "addCount", name, value: 1, labels: { framing } });
            const message = "Response ends early.";
            const fields = { request, framing, pendingBytes };
            write({ kind: "writeLog", level: "warn", prefix: "stream:", message, fields });
        },
        reportFailure,
    });
    const client = createForwardClient({
        codec: ports.headers,
        post,
        openRequests,
        answers: clients.answers,
        uploads: createAnsweredUploads({
            maxBytes: clients.limits.answeredUploadBytes,
            ...createUploadReporter({ writeLog: write, metrics }),
            reportFailure,
        }),
        isClosing: front.isClosing,
        onEndChecked: createEndReporter({ writeLog: write, metrics }),
        reportFailure,
    });
    const peers = createPeerLink({ address: listen.peers, post, clientBounds: clients, reportFailure });
    const portOptions = { clock, post, reportFailure };
    const { requestChanges, requestCopy } = peers;
    const store = ports.createStore({ ...portOptions, ...storeSettings, requestChanges, requestCopy });
    const engines = ports.createEngines(portOptions);
    const directory = ports.createDirectory({
        ...portOptions,
        clients,
        directoryAddress: listen.directory,
        readinessAddress: listen.readiness,
        keepSeconds: bounds.addressesKeepSeconds * addressTtlFraction,
        isReady: () => world.tables.node.isReady,
    });

    function stop(): void {
        runner.stop();
        front.stop();
        client.close();
        store.close();
        peers.close();
        engines.close();
        directory.close();
        metricsServer.close();
    }

    const handlers: ForwardHandlers = {
        refuseRequest: front.refuse,
        relayAnswer: client.relay,
        interruptAnswer: front.interrupt,
        releaseRequest: ({ request }) => {
            client.release(request);
            openRequests.remove(request);
        },
        answerAddresses: directory.answer,
        applyLimits: ({ limits }) => {
            front.applyLimits(limits);
        },
        updateReadiness: ({ isClosing }) => {
            if (isClosing) {
                front.startClosing();
            }
        },
        sendRequest: client.send,
        cancelAttempt: client.cancel,
        moveAttempt: client.move,
        closeTarget: ({ target }) => {
            client.closeTarget(target);
        },
        readEngine: engines.read,
        orderWeights: engines.order,
        followParts: engines.followParts,
        callStore: store.call,
        recordServiceRollout: store.recordServiceRollout,
        updateStoreSource: store.updateSource,
        readValue: store.readValue,
        cancelValueRead: store.cancelValueRead,
        requestCopy: store.requestCopy,
        callPeer: peers.call,
        answerPeer: peers.answer,
        answerRelayCall: peers.answerRelayCall,
        answerCopyCall: peers.answerCopyCall,
        writeLog: write,
        addCount: metrics.addCount,
        recordValue: metrics.recordValue,
        updateGauge: metrics.updateGauge,
        closeListeners: front.closeListener,
        exitProcess: ({ code }) => {
            stop();
            onExit?.(code);
        },
    };
    const runner = createTickRunner<ForwardEvent, ForwardBatch, ForwardEffect, ForwardWorld>({
        world,
        systems: forwardSystems,
        handlers,
        clock,
        createBatch: createForwardBatch,
        reportFailure,
    });
    await front.start();
    await directory.start();
    await peers.start();
    await startListening(metricsServer, listen.metrics);
    runner.start();
    store.start();
    return {
        drain: () => {
            post({ kind: "drainRequested" });
        },
        reload: next => {
            world.settings = applyAgreements({ ...next, listen }, ports);
            post({ kind: "reloadRequested", outcome: "applied" });
        },
        refuseReload: () => {
            post({ kind: "reloadRequested", outcome: "refused" });
        },
        stop,
    };
}

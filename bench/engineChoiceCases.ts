/** Cost of choosing an engine in the forwarding mode, with loads as reported and with estimated loads. */
import { createEffectQueue } from "../src/effects";
import type { ForwardEffect } from "../src/forward/effects";
import { createForwardBatch } from "../src/forward/events";
import { toPartId, toServerVersion, toServiceId, toWeightsVersion } from "../src/forward/ids";
import { parseForwardSettings } from "../src/forward/settings";
import { chooseEngine } from "../src/forward/systems/chooseEngine";
import { createForwardTables } from "../src/forward/tables";
import type { ForwardRequestRow } from "../src/forward/tables/requests";
import type { ForwardTargetRow } from "../src/forward/tables/targets";
import type { ForwardWorld } from "../src/forward/world";
import { type Millis, toDataCentreId, toMillis, toModelId, toTargetId, toVmId } from "../src/ids";
import type { Hasher } from "../src/policy/prefix";
import { createTimerService } from "../src/timers";
import type { CostCase, PreparedCase } from "./costCases";
import { createRandom } from "./random";

const processes = 80;
/** Engines that have requests of one process in its report. */
const enginesPerReport = 10;
const sharedPartCount = 40;
const model = toModelId("model-a");
const service = toServiceId("engines");
const now = toMillis(100_000);

const settingsText = `
vm = "front-0"
dataCentre = "dc-0"
listen = { callers = "127.0.0.1:1", readiness = "127.0.0.1:2", directory = "127.0.0.1:3", metrics = "127.0.0.1:4", peers = "127.0.0.1:5" }
store = { address = "127.0.0.1:6" }
[bounds]
graceMs = 8000
retryRatio = 0.2
retryMin = 50
retryWindowMs = 10000
quotaWindowMs = 8000
quotaOverage = 0.1
quotaSlackTokens = 1000
dutyGuardMs = 3000
weightsMs = 10000
addressesKeepSeconds = 5
`;

const buildRegistration = (index: number) => ({
    id: toTargetId(`e${index}@1`),
    instance: `e${index}`,
    service,
    address: "127.0.0.1:9",
    dataCentre: toDataCentreId("dc-0"),
    isLeaving: false,
    version: toServerVersion("v1"),
    weights: new Map([[model, toWeightsVersion(1)]]),
});

/** Rows of many targets; registering each of them in the table would take long. */
function buildTargets(count: number): ForwardTargetRow[] {
    const { targets } = createForwardTables();
    targets.apply("e0", buildRegistration(0), now);
    const [first] = targets.list();
    return Array.from({ length: count }, (_, index) => ({
        ...(first as ForwardTargetRow),
        registration: buildRegistration(index),
        inFlight: new Map(),
    }));
}

function createWorld(hasher: Hasher, rows: readonly ForwardTargetRow[], estimatesLoad: boolean): ForwardWorld {
    const tables = createForwardTables();
    const random = createRandom(1).getNext;
    const settings = parseForwardSettings(settingsText).unwrap();
    for (let index = 0; index < processes; index += 1) {
        const vm = toVmId(`front-${index}`);
        tables.members.apply({
            vm,
            address: "127.0.0.1:1",
            peerAddress: "127.0.0.1:5",
            dataCentre: settings.dataCentre,
            state: "live",
        });
        const loads = Array.from({ length: enginesPerReport }, () => ({
            target: toTargetId(`e${Math.floor(random() * rows.length)}@1`),
            queuedTokens: 3000,
            requests: 2,
        }));
        tables.peerLoads.apply(vm, loads, now);
    }
    return {
        settings: { ...settings, routing: { estimatesLoad, sharesFailures: estimatesLoad } },
        startedAt: 0,
        hasher,
        random,
        tables: { ...tables, targets: { ...tables.targets, revision: 1, listService: () => rows } },
        effects: createEffectQueue<ForwardEffect>(),
        timers: createTimerService(),
    };
}

const buildRow = (index: number): ForwardRequestRow => ({
    id: `r${index}`,
    arrival: {
        model,
        promptTokens: 9190,
        parts: [{ id: toPartId(`shared-${index % sharedPartCount}`), tokens: 6300 }, {
            id: toPartId(`own-${index}`),
            tokens: 2890,
        }],
    },
    account: undefined,
    route: { priority: 0 },
    service,
    attempts: [],
    lastEventId: 0,
} as unknown as ForwardRequestRow);

const createChoiceCase = (estimatesLoad: boolean) => (engines: number, hasher: Hasher): PreparedCase => {
    const rows = buildTargets(engines);
    const world = createWorld(hasher, rows, estimatesLoad);
    const due = { has: () => false, listKeys: () => [] };
    let number = 0;
    function run(count: number): void {
        for (let index = 0; index < count; index += 1) {
            number += 1;
            const at = (now + number / 1000) as Millis;
            const tick = { number, now: at, wallNow: 0, events: createForwardBatch([]), due };
            chooseEngine(world, tick, buildRow(number), rows);
        }
    }
    if (estimatesLoad) {
        // Measures choices for parts whose ranks are known; the first choice for a part ranks all engines.
        run(sharedPartCount);
    }
    return { run };
};

/** Two deployments, and the target size. */
const sizes = [13, 63, 12_000];

export const engineChoiceCases: readonly CostCase[] = [
    { operation: "engine choice, loads as reported", variable: "engines", sizes, prepare: createChoiceCase(false) },
    { operation: "engine choice, estimated loads", variable: "engines", sizes, prepare: createChoiceCase(true) },
];

/**
 * Cases of the cost benchmark. Each prepares a world of a given size and runs one operation many times. The table has
 * no cases for rates and claims.
 */
import { Ok } from "ts-results";
import { readPlatformView } from "../platform/configurationView";
import { checkDocument } from "../src/configCheck/checkDocument";
import { parseFileBytes } from "../src/configCheck/input";
import { formatReport } from "../src/configCheck/report";
import { createEventBatch, type Event } from "../src/events";
import { toCallId, toConfigVersion, toIncarnation, toMillis, toPrefixId, toTargetId, toVmId } from "../src/ids";
import type { Exchange, MemberDigest } from "../src/peers";
import type { Hasher } from "../src/policy/prefix";
import { createRunner } from "../src/runner";
import { systems } from "../src/systems";
import { admitRequests } from "../src/systems/admitRequests";
import { applyDocument } from "../src/systems/applyConfiguration";
import { exchangeWithPeers } from "../src/systems/exchangeWithPeers";
import { reserveTokens } from "../src/systems/reserveTokens";
import { routeRequests } from "../src/systems/routeRequests";
import { updateTargets } from "../src/systems/updateTargets";
import type { Tick, World } from "../src/world";
import { buildManyRoutes } from "../standins/platformConfiguration";
import { buildArrivalEvent, buildDocument, createBenchWorld, createIdleHandlers } from "./benchWorld";
import { deployments, faultCases } from "./cases";
import { createSimulation } from "./simulation";
import { type Arrival, buildArrivals, type Deployment } from "./workload";

export interface PreparedCase {
    /** Runs the operation `count` times. */
    run(count: number): void;
}

export interface CostCase {
    readonly operation: string;
    readonly variable: string;
    readonly sizes: readonly number[];
    readonly prepare: (size: number, hasher: Hasher) => PreparedCase;
}

interface Sizes {
    readonly engines?: number;
    readonly accounts?: number;
    readonly prefixes?: number;
    readonly peers?: number;
}

const holdersPerPrefix = 2;

function buildDeployment({ engines = 17, accounts = 5 }: Sizes): Deployment {
    return { ...deployments.sulina, engines, accountShares: Array.from({ length: accounts }, () => 1 / accounts) };
}

export function createTick(number: number, events: readonly Event[] = []): Tick {
    const due = { has: () => false, listKeys: () => [] };
    return { number, now: toMillis(10_000 + number), wallNow: number, events: createEventBatch(events), due };
}

function createDigest(index: number): MemberDigest {
    return {
        vm: toVmId(`vm-${index}`),
        incarnation: toIncarnation(`run-of-vm-${index}-0123456789abcdef`),
        dataCentre: "dc-1" as MemberDigest["dataCentre"],
        callerAddress: "10.0.100.100:8000",
        peerAddress: `10.0.${index >> 8}.${index & 255}:7000`,
        state: "live",
        vouches: true,
        configVersion: toConfigVersion(1),
        storeConfirmedAgeMs: 1234,
        headConfirmedAgeMs: 1234,
    };
}

export function addMembers(world: World, count: number): void {
    for (let index = 0; index < count; index += 1) {
        const { storeConfirmedAgeMs: _store, headConfirmedAgeMs: _head, vouches, ...digest } = createDigest(index);
        world.tables.members.add({
            ...digest,
            hasConfirmedVersion: vouches,
            vm: index === 0 ? world.settings.vm : digest.vm,
            lastSeenAt: toMillis(9000),
            storeConfirmedAt: toMillis(9000),
            notNewerSeenAt: toMillis(9000),
            isRegistered: true,
            isListed: true,
            isLeaving: false,
        });
    }
}

export function addPrefixRows(world: World, count: number): void {
    const targets = world.tables.targets.list();
    for (let index = 0; index < count; index += 1) {
        for (let holder = 0; holder < holdersPerPrefix; holder += 1) {
            const target = targets[(index + holder) % targets.length];
            if (target) {
                world.tables.prefixes.add(toPrefixId(BigInt(index) * 0x9e3779b97f4a7n), {
                    target: target.id,
                    incarnation: toIncarnation("run"),
                    seenAt: toMillis(9000),
                });
            }
        }
    }
}

/** Creates a world with an applied configuration, engines that have reported, and filled tables. */
export function createSizedWorld(
    hasher: Hasher,
    sizes: Sizes,
): { readonly world: World; readonly deployment: Deployment; } {
    const deployment = buildDeployment(sizes);
    const world = createBenchWorld({ hasher, seed: 1 });
    applyDocument(world, toConfigVersion(1), buildDocument(deployment), "benchmark");
    world.tables.configuration.freshness = "fresh";
    world.tables.configuration.confirmedAt = toMillis(10_000);
    for (const target of world.tables.targets.list()) {
        target.incarnation = toIncarnation("run");
        target.reportedAt = toMillis(10_000);
        target.reportRequestedAt = toMillis(10_000);
    }
    addPrefixRows(world, sizes.prefixes ?? 10_000);
    addMembers(world, sizes.peers ?? 4);
    world.effects.takeAll();
    return { world, deployment };
}

function buildBenchArrivals(deployment: Deployment): readonly Arrival[] {
    return buildArrivals(deployment, faultCases.calm, { seed: 1, requests: 200 });
}

/** Ends all requests, so that each operation begins with the same state. */
function removeRequests(world: World): void {
    for (const row of world.tables.requests.listOpen()) {
        world.tables.requests.updateState(row, "done");
    }
    for (const target of world.tables.targets.list()) {
        target.inFlight.clear();
    }
    world.effects.takeAll();
    world.timers.takeDue(toMillis(Number.MAX_SAFE_INTEGER));
}

function createAdmissionCase(hasher: Hasher, sizes: Sizes): PreparedCase & { readonly world: World; } {
    const { world, deployment } = createSizedWorld(hasher, sizes);
    const arrivals = buildBenchArrivals(deployment);
    let number = 1;
    return {
        world,
        run: count => {
            for (let index = 0; index < count; index += 1) {
                number += 1;
                const arrival = arrivals[number % arrivals.length] as Arrival;
                const event = buildArrivalEvent(deployment, arrival, { number, now: toMillis(10_000 + number) });
                const tick = createTick(number, [event]);
                admitRequests(world, tick);
                for (const row of world.tables.requests.list("reserving")) {
                    const bucket = world.tables.floors.get(row.account ?? ("" as never))?.bucket;
                    if (bucket) {
                        bucket.level = bucket.burst;
                        bucket.outstanding = 0;
                    }
                }
                reserveTokens(world, tick);
                removeRequests(world);
            }
        },
    };
}

function createDecisionCase(hasher: Hasher, sizes: Sizes): PreparedCase {
    const { world, deployment } = createSizedWorld(hasher, sizes);
    const [arrival] = buildBenchArrivals(deployment);
    const event = buildArrivalEvent(deployment, arrival as Arrival, { number: 1, now: toMillis(10_000) });
    admitRequests(world, createTick(1, [event]));
    const [row] = world.tables.requests.listOpen();
    let number = 1;
    return {
        run: count => {
            for (let index = 0; row && index < count; index += 1) {
                number += 1;
                row.attempts = [];
                row.decisions = [];
                row.state = "queued";
                removeRequests(world);
                world.tables.requests.add(row);
                world.tables.requests.updateState(row, "queued");
                routeRequests(world, createTick(number));
            }
        },
    };
}

function createCacheEventCase(hasher: Hasher, sizes: Sizes): PreparedCase {
    const { world } = createSizedWorld(hasher, sizes);
    const target = toTargetId("engine-0");
    let seq = 0;
    return {
        run: count => {
            for (let index = 0; index < count; index += 1) {
                seq += 1;
                const blocks = [toPrefixId(BigInt(seq % 1000) * 0x9e3779b97f4a7n)];
                const events = [{ seq, kind: seq % 2 === 0 ? "stored" as const : "removed" as const, blocks }];
                const incarnation = toIncarnation("run");
                updateTargets(
                    world,
                    createTick(seq + 1, [{ kind: "cacheEventsReceived", target, incarnation, events }]),
                );
            }
            world.effects.takeAll();
        },
    };
}

function createConfigurationChangeCase(hasher: Hasher, sizes: Sizes): PreparedCase {
    const { world, deployment } = createSizedWorld(hasher, sizes);
    const document = buildDocument(deployment);
    let version = 1;
    return {
        run: count => {
            for (let index = 0; index < count; index += 1) {
                version += 1;
                applyDocument(world, toConfigVersion(version), document, "benchmark");
            }
            world.effects.takeAll();
        },
    };
}

export function buildExchange(members: number): Exchange {
    const heard = Array.from({ length: Math.min(16, members) }, (_, index) => ({
        digest: createDigest(index + 1),
        ageMs: 500,
    }));
    return { digest: createDigest(1), heard, prefixes: [] };
}

function createExchangeCase(hasher: Hasher, sizes: Sizes): PreparedCase {
    const { world } = createSizedWorld(hasher, sizes);
    const body = buildExchange(sizes.peers ?? 4);
    let number = 1;
    return {
        run: count => {
            for (let index = 0; index < count; index += 1) {
                number += 1;
                const call = toCallId("1");
                exchangeWithPeers(
                    world,
                    createTick(number, [{ kind: "peerCallReceived", call, request: { kind: "exchange", body } }]),
                );
            }
            world.effects.takeAll();
        },
    };
}

/** Runs seconds without requests: timers, reports of idle engines and the exchanges with peers. */
function createIdleSecondCase(hasher: Hasher, sizes: Sizes): PreparedCase {
    const { world } = createSizedWorld(hasher, sizes);
    const simulation = createSimulation();
    const runner = createRunner({
        world,
        systems,
        clock: simulation.clock,
        handlers: {
            ...createIdleHandlers(),
            callPeer: ({ purpose, address }) => {
                simulation.schedule(1, () => {
                    const result = Ok({ kind: "exchange" as const, body: buildExchange(sizes.peers ?? 4) });
                    runner.post({ kind: "peerReplied", purpose, address, result });
                });
            },
        },
    });
    runner.start();
    return {
        run: count => {
            const end = simulation.getNow() + count * 1000;
            simulation.runUntil(() => simulation.getNow() >= end);
        },
    };
}

/** Checks a document of the forwarding mode, and compares it with one that differs in each route. */
function createConfigurationCheckCase(count: number): PreparedCase {
    const before = readPlatformView(buildManyRoutes({ version: 1, count, timeoutMs: 3000 })).unwrap();
    const bytes = Buffer.from(JSON.stringify(buildManyRoutes({ version: 2, count, timeoutMs: 2000 })));
    return {
        run: runs => {
            for (let index = 0; index < runs; index += 1) {
                const content = parseFileBytes("document.json", bytes).unwrap();
                const report = checkDocument({ content, mode: "forward", read: readPlatformView, against: before });
                formatReport("document.json", report);
            }
        },
    };
}

/** 12,000 engines over 710 VMs are 17 for each; in a small fleet each VM has all engines in its table. */
const engineSizes = [6, 17, 68, 272, 1088];
const accountSizes = [5, 50, 190, 760];
/** 520 million blocks over 710 VMs are 732,000 for each; the default table holds 200,000 rows. */
const prefixSizes = [12_500, 50_000, 100_000, 200_000];
const peerSizes = [4, 45, 178, 710];
/** Documents of 1,400 routes are to be checked in under a second. */
const routeSizes = [50, 350, 1400, 5600];

export const costCases: readonly CostCase[] = [
    {
        operation: "routing decision",
        variable: "engines",
        sizes: engineSizes,
        prepare: (engines, hasher) => createDecisionCase(hasher, { engines }),
    },
    {
        operation: "routing decision",
        variable: "prefixes",
        sizes: prefixSizes,
        prepare: (prefixes, hasher) => createDecisionCase(hasher, { prefixes }),
    },
    {
        operation: "cache event",
        variable: "prefixes",
        sizes: prefixSizes,
        prepare: (prefixes, hasher) => createCacheEventCase(hasher, { prefixes }),
    },
    {
        operation: "cache event",
        variable: "engines",
        sizes: engineSizes,
        prepare: (engines, hasher) => createCacheEventCase(hasher, { engines }),
    },
    {
        operation: "admission",
        variable: "accounts",
        sizes: accountSizes,
        prepare: (accounts, hasher) => createAdmissionCase(hasher, { accounts }),
    },
    {
        operation: "configuration change",
        variable: "accounts",
        sizes: accountSizes,
        prepare: (accounts, hasher) => createConfigurationChangeCase(hasher, { accounts }),
    },
    {
        operation: "configuration change",
        variable: "engines",
        sizes: engineSizes,
        prepare: (engines, hasher) => createConfigurationChangeCase(hasher, { engines }),
    },
    {
        operation: "configuration check",
        variable: "routes",
        sizes: routeSizes,
        prepare: createConfigurationCheckCase,
    },
    {
        operation: "gossip exchange",
        variable: "peers",
        sizes: peerSizes,
        prepare: (peers, hasher) => createExchangeCase(hasher, { peers }),
    },
    {
        operation: "idle second",
        variable: "peers",
        sizes: peerSizes,
        prepare: (peers, hasher) => createIdleSecondCase(hasher, { peers }),
    },
];

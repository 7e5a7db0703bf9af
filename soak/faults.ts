/** Faults of a soak run, injected from outside the router processes: signals, TCP proxies, store and server faults. */
import * as net from "node:net";
import { parseAddress } from "../src/adapters/httpClient";
import type { ServerBehaviour } from "../standins/platformServer";
import type { PlatformStoreFaults } from "../standins/platformStore";
import { startRouter, writeConfiguration } from "./fleet";
import type { ProxyMode } from "./proxy";
import {
    accountNames,
    crashingPart,
    getSoakTime,
    type SoakFault,
    type SoakRouter,
    type SoakServer,
    type SoakWorld,
} from "./tables";

/** Clients of one fault that read no answers, and the requests that each of them sends. */
const unreadClients = 24;
const unreadRequests = 20_000;

/** Starts a fault and returns the function that ends it. */
type FaultStart = (world: SoakWorld, fault: SoakFault) => () => void;

const choose = <Row>(rows: readonly Row[], selector: number): Row => rows[Math.floor(selector * rows.length)] as Row;

/** Marks the process and its open requests as disturbed; these requests may end without an answer. */
function recordDisturbance(world: SoakWorld, router: SoakRouter): void {
    router.isDisturbed = true;
    for (const request of world.requests) {
        if (request.router === router && request.endedAt === undefined) {
            request.isDisturbed = true;
        }
    }
}

function scheduleRestart(world: SoakWorld, router: SoakRouter, signal: "SIGTERM" | "SIGKILL"): () => void {
    recordDisturbance(world, router);
    const { child } = router;
    child.kill(signal);
    return () => {
        const start = (): void => {
            startRouter(world, router);
            router.isDisturbed = false;
        };
        if (child.exitCode !== null || child.signalCode !== null) {
            start();
        }
        else {
            child.once("exit", start);
        }
    };
}

const createSignalFault = (signal: "SIGTERM" | "SIGKILL"): FaultStart => (world, { selector }) =>
    scheduleRestart(world, choose(world.routers, selector), signal);

const createStoreProxyFault = (mode: ProxyMode): FaultStart => (world, { selector }) => {
    const { storeProxy } = choose(world.routers, selector);
    storeProxy.update(mode);
    return () => {
        storeProxy.update("pass");
    };
};

const createStoreFault = (mode: PlatformStoreFaults["mode"]): FaultStart => ({ store }) => {
    store.faults.mode = mode;
    return () => {
        store.faults.mode = "none";
    };
};

const createServerProxyFault = (mode: ProxyMode): FaultStart => (world, { selector }) => {
    const { proxy } = choose([...world.engines, ...world.services], selector);
    proxy.update(mode);
    return () => {
        proxy.update("pass");
    };
};

const createServerFault =
    (behaviour: ServerBehaviour, listServers: (world: SoakWorld) => readonly SoakServer[]): FaultStart =>
    (world, { selector }) => {
        const { server } = choose(listServers(world), selector);
        server.behaviour = behaviour;
        return () => {
            server.behaviour = "answer";
        };
    };

const listAll = ({ engines, services }: SoakWorld): readonly SoakServer[] => [...engines, ...services];
const listServices = ({ services }: SoakWorld): readonly SoakServer[] => services;
const listEngines = ({ engines }: SoakWorld): readonly SoakServer[] => engines;
const endNothing = (): void => undefined;

export const faultKinds: Readonly<Record<string, FaultStart>> = {
    "process killed": createSignalFault("SIGKILL"),
    "process stopped": createSignalFault("SIGTERM"),
    "all processes killed": world => {
        const ends = world.routers.filter(router => !router.isDisturbed).map(router =>
            scheduleRestart(world, router, "SIGKILL")
        );
        return () => {
            ends.forEach(end => {
                end();
            });
        };
    },
    "process paused": (world, { selector }) => {
        const router = choose(world.routers, selector);
        recordDisturbance(world, router);
        router.child.kill("SIGSTOP");
        return () => {
            recordDisturbance(world, router);
            router.child.kill("SIGCONT");
            router.isDisturbed = false;
        };
    },
    "settings reloaded": (world, { selector }) => {
        choose(world.routers, selector).child.kill("SIGHUP");
        return endNothing;
    },
    "store cut from a process": createStoreProxyFault("reset"),
    "store silent for a process": createStoreProxyFault("silent"),
    "store's answers lost for a process": createStoreProxyFault("oneWay"),
    "store slow for a process": createStoreProxyFault("slow"),
    "store busy": createStoreFault("busy"),
    "store silent": createStoreFault("silent"),
    "store applies calls without answering": createStoreFault("lost"),
    "store compacts its history": ({ store }) => {
        store.compact();
        return endNothing;
    },
    "server cut": createServerProxyFault("reset"),
    "server silent": createServerProxyFault("silent"),
    "server's answers lost": createServerProxyFault("oneWay"),
    "server slow": createServerProxyFault("slow"),
    "server sheds load": createServerFault("shed", listAll),
    "server answers with errors": createServerFault("error", listServices),
    "server loses answers": createServerFault("lose", listServices),
    "server cuts answers": createServerFault("cut", listAll),
    "server sends extra answers": createServerFault("extra", listServices),
    "server answers without a length and resets": createServerFault("unframedReset", listServices),
    "server answers without signature": createServerFault("unsigned", listServices),
    "engine hangs": createServerFault("hang", listEngines),
    "configuration changes": world => {
        writeConfiguration(world);
        return endNothing;
    },
    "weights version changes": world => {
        const version = Math.max(...world.engines.map(({ server }) => server.version)) + 1;
        world.store.put("op/version/model-a", { model: "model-a", version });
        return endNothing;
    },
    "key withdrawn": world => {
        world.withdrawnAt ??= getSoakTime(world);
        writeConfiguration(world);
        return endNothing;
    },
};

/** Requests a second that each engine names as its limit during a fault. */
const engineLimitPerSecond = 4;

/** Faults of engines that are drawn apart from the others, so that the faults of earlier seeds stay the same. */
const engineFaultKinds: typeof faultKinds = {
    "engines end under a prompt part": ({ engines }) => {
        engines.forEach(({ server }) => {
            server.crashingPart = crashingPart;
        });
        return () => {
            engines.forEach(({ server }) => {
                server.crashingPart = undefined;
            });
        };
    },
    "engines name a limit": ({ engines }) => {
        engines.forEach(({ server }) => {
            server.requestLimit = engineLimitPerSecond;
        });
        return () => {
            engines.forEach(({ server }) => {
                server.requestLimit = undefined;
            });
        };
    },
};

/** Faults of the store's contents, drawn apart for the same reason. */
const contentFaultKinds: typeof faultKinds = {
    "store loses what was written and is written again": ({ store }) => {
        const copy = store.copy();
        return () => {
            const written = ["op/", "servers/"].flatMap(prefix => store.list(prefix));
            store.restore(copy);
            written.forEach(({ key, value }) => {
                store.putText(key, value);
            });
        };
    },
};

/** Faults of the framing of answers, drawn apart for the same reason. */
const framingFaultKinds: typeof faultKinds = {
    "server answers without a body": createServerFault("noContent", listServices),
    "engine cuts streams without framing": createServerFault("unframedCut", listEngines),
};

/** Time for which a dead engine refuses connections before it is back. */
const deathMs = 600;

/** Has an engine send streams without framing, and at the end of the fault ends it in the given way for a while. */
const createDeathFault = (mode: ProxyMode): FaultStart => (world, { selector }) => {
    const { server, proxy } = choose(world.engines, selector);
    server.behaviour = "unframed";
    return () => {
        proxy.update(mode);
        setTimeout(() => {
            server.behaviour = "answer";
            proxy.update("pass");
        }, deathMs);
    };
};

/** Ways in which engines end or pause, drawn apart for the same reason. */
const deathFaultKinds: typeof faultKinds = {
    "engine with streams without framing is killed": createDeathFault("closed"),
    "engine with streams without framing is cut off": createDeathFault("reset"),
    "engine pauses and goes on": (world, { selector }) => {
        const { proxy } = choose(world.engines, selector);
        proxy.update("paused");
        return () => {
            proxy.update("pass");
        };
    },
};

/** Routes with which a configuration has 0.95 MB. */
const largeRouteCount = 4500;
const stormVersions = 25;
const stormPauseMs = 80;

/** Has the configuration grow until the fault ends. */
function startLargeConfiguration(world: SoakWorld): () => void {
    world.idleRouteCount = largeRouteCount;
    writeConfiguration(world);
    return () => {
        world.idleRouteCount = 0;
        writeConfiguration(world);
    };
}

/** Large configurations, drawn apart for the same reason. */
const configurationFaultKinds: typeof faultKinds = {
    "configuration grows over a narrow link": (world, { selector }) => {
        const { storeProxy } = choose(world.routers, selector);
        storeProxy.update("narrow");
        const end = startLargeConfiguration(world);
        return () => {
            storeProxy.update("pass");
            end();
        };
    },
    "large configurations come in a storm": world => {
        const end = startLargeConfiguration(world);
        const timer = setInterval(writeConfiguration, stormPauseMs, world);
        setTimeout(clearInterval, stormVersions * stormPauseMs, timer);
        return () => {
            clearInterval(timer);
            end();
        };
    },
};

/** Damage to large answers of the store, drawn apart for the same reason. The other processes receive them whole. */
const damageFaultKinds: typeof faultKinds = {
    "large configurations arrive damaged": (world, { selector }) => {
        const { storeProxy } = choose(world.routers, selector);
        storeProxy.update("damaged");
        const end = startLargeConfiguration(world);
        return () => {
            storeProxy.update("pass");
            end();
        };
    },
};

/** Clients outside the limits, drawn apart for the same reason. */
const clientFaultKinds: typeof faultKinds = {
    "clients pipeline requests and read no answers": (world, { selector }) => {
        const { callerAddress } = choose(world.routers, selector);
        const clients = Array.from({ length: unreadClients }, () => net.connect(parseAddress(callerAddress)));
        clients.forEach(client => {
            client.pause();
            client.on("error", () => client.destroy());
            client.write("GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n".repeat(unreadRequests));
        });
        return () => {
            clients.forEach(client => client.destroy());
        };
    },
};

/** Changes of isolated accounts, drawn apart for the same reason. */
const isolationFaultKinds: typeof faultKinds = {
    "accounts are isolated": (world, { selector }) => {
        const choice = Math.floor(selector * 2 ** accountNames.length);
        world.isolatedAccounts = accountNames.filter((_, index) => (choice >> index) % 2 === 1);
        world.isolations.push({ at: getSoakTime(world), accounts: world.isolatedAccounts });
        writeConfiguration(world);
        return endNothing;
    },
};

const startFault = (world: SoakWorld, fault: SoakFault): () => void =>
    ({
        ...faultKinds,
        ...engineFaultKinds,
        ...contentFaultKinds,
        ...framingFaultKinds,
        ...deathFaultKinds,
        ...clientFaultKinds,
        ...configurationFaultKinds,
        ...damageFaultKinds,
        ...isolationFaultKinds,
    })
        [fault.kind]?.(world, fault)
        ?? endNothing;

/** Fraction of a run, at its beginning, in which faults start, so that the recovery can be checked at the end. */
const faultyFraction = 0.6;
const faultDurationRangeMs = 2500;

interface FaultDraw {
    readonly random: () => number;
    readonly durationMs: number;
    readonly count: number;
    readonly kinds: readonly string[];
    /** Fraction of the run in which the faults start. */
    readonly startFraction?: number;
    readonly minFaultMs?: number;
}

function createFaultsOf(
    { random, durationMs, count, kinds, startFraction = faultyFraction, minFaultMs = 200 }: FaultDraw,
): SoakFault[] {
    return Array.from({ length: count }, () => {
        const startsAt = random() * durationMs * startFraction;
        return {
            kind: kinds[Math.floor(random() * kinds.length)] ?? "",
            startsAt,
            endsAt: startsAt + minFaultMs + random() * faultDurationRangeMs,
            selector: random(),
            state: "waiting" as const,
            end: endNothing,
        };
    }).sort((left, right) => left.startsAt - right.startsAt);
}

/** Draws the faults of a run at random; they can overlap. */
export const createFaults = ({ random, durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(faultKinds) });

/** Draws the faults of engines with a generator of their own. */
export const createEngineFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(engineFaultKinds) });

/** Draws the faults of the store's contents with a generator of their own. */
export const createContentFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(contentFaultKinds) });

/** Draws the faults of the framing of answers with a generator of their own. */
export const createFramingFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(framingFaultKinds) });

/** Draws the ways in which engines end or pause with a generator of their own. */
export const createDeathFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(deathFaultKinds) });

/** Draws the loads of clients outside the limits with a generator of their own. */
export const createClientFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(clientFaultKinds) });

/** Large configurations last longer than a change may take to come into force, and end before the fault-free end. */
const configurationTimes = { startFraction: 0.25, minFaultMs: 6000 };

/** Draws large configurations with a generator of their own. */
export const createConfigurationFaults = (
    random: () => number,
    { durationMs }: SoakWorld,
    count: number,
): SoakFault[] =>
    createFaultsOf({
        random,
        durationMs,
        count,
        kinds: Object.keys(configurationFaultKinds),
        ...configurationTimes,
    });

/** Draws large configurations that arrive damaged with a generator of their own. */
export const createDamageFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({ random, durationMs, count, kinds: Object.keys(damageFaultKinds), ...configurationTimes });

/** Isolated accounts change early, so that there is time to see which parts requests use afterwards. */
const isolationStartFraction = 0.3;

/** Draws changes of isolated accounts with a generator of their own. */
export const createIsolationFaults = (random: () => number, { durationMs }: SoakWorld, count: number): SoakFault[] =>
    createFaultsOf({
        random,
        durationMs,
        count,
        kinds: Object.keys(isolationFaultKinds),
        startFraction: isolationStartFraction,
    });

/** Starts and ends the faults that are due. Skips a fault of a process that another fault already disturbs. */
export function runFaults(world: SoakWorld): void {
    const now = getSoakTime(world);
    for (const fault of world.faults) {
        if (fault.state === "waiting" && now >= fault.startsAt) {
            const isOnProcess = fault.kind.startsWith("process");
            const isAlreadyDisturbed = isOnProcess && choose(world.routers, fault.selector).isDisturbed;
            fault.state = isAlreadyDisturbed ? "over" : "running";
            fault.end = isAlreadyDisturbed ? endNothing : startFault(world, fault);
        }
        else if (fault.state === "running" && now >= fault.endsAt) {
            fault.state = "over";
            fault.end();
        }
    }
}

/** Faults of a soak run, all from outside of the processes: signals, proxies, the store's and the servers' behaviour. */
import type { ServerBehaviour } from "../standins/platformServer";
import type { PlatformStoreFaults } from "../standins/platformStore";
import { startProgram, writeConfiguration } from "./fleet";
import type { ProxyMode } from "./proxy";
import { getSoakTime, type SoakFault, type SoakNode, type SoakServer, type SoakWorld } from "./tables";

/** Starts a fault and returns what undoes it. */
type FaultStart = (world: SoakWorld, fault: SoakFault) => () => void;

const choose = <Row>(rows: readonly Row[], pick: number): Row => rows[Math.floor(pick * rows.length)] as Row;

/** Requests that are on their way at a disturbed process may end without an answer. */
function recordDisturbance(world: SoakWorld, node: SoakNode): void {
    node.isDisturbed = true;
    for (const request of world.requests) {
        if (request.node === node && request.endedAt === undefined) {
            request.isDisturbed = true;
        }
    }
}

function scheduleRestart(world: SoakWorld, node: SoakNode, signal: "SIGTERM" | "SIGKILL"): () => void {
    recordDisturbance(world, node);
    const { child } = node;
    child.kill(signal);
    return () => {
        const start = (): void => {
            startProgram(world, node);
            node.isDisturbed = false;
        };
        if (child.exitCode !== null || child.signalCode !== null) {
            start();
        }
        else {
            child.once("exit", start);
        }
    };
}

const createNodeFault = (signal: "SIGTERM" | "SIGKILL"): FaultStart => (world, { pick }) =>
    scheduleRestart(world, choose(world.nodes, pick), signal);

const createStoreCut = (mode: ProxyMode): FaultStart => (world, { pick }) => {
    const { storeProxy } = choose(world.nodes, pick);
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

const createServerCut = (mode: ProxyMode): FaultStart => (world, { pick }) => {
    const { proxy } = choose([...world.engines, ...world.services], pick);
    proxy.update(mode);
    return () => {
        proxy.update("pass");
    };
};

const createServerFault =
    (behaviour: ServerBehaviour, listServers: (world: SoakWorld) => readonly SoakServer[]): FaultStart =>
    (world, { pick }) => {
        const { server } = choose(listServers(world), pick);
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
    "process killed": createNodeFault("SIGKILL"),
    "process stopped": createNodeFault("SIGTERM"),
    "all processes killed": world => {
        const ends = world.nodes.filter(node => !node.isDisturbed).map(node => scheduleRestart(world, node, "SIGKILL"));
        return () => {
            ends.forEach(end => {
                end();
            });
        };
    },
    "process paused": (world, { pick }) => {
        const node = choose(world.nodes, pick);
        recordDisturbance(world, node);
        node.child.kill("SIGSTOP");
        return () => {
            recordDisturbance(world, node);
            node.child.kill("SIGCONT");
            node.isDisturbed = false;
        };
    },
    "settings read again": (world, { pick }) => {
        choose(world.nodes, pick).child.kill("SIGHUP");
        return endNothing;
    },
    "store cut from a process": createStoreCut("reset"),
    "store silent for a process": createStoreCut("silent"),
    "store's answers lost for a process": createStoreCut("oneWay"),
    "store slow for a process": createStoreCut("slow"),
    "store busy": createStoreFault("busy"),
    "store silent": createStoreFault("silent"),
    "store applies and is silent": createStoreFault("lost"),
    "store drops its history": ({ store }) => {
        store.compact();
        return endNothing;
    },
    "server cut": createServerCut("reset"),
    "server silent": createServerCut("silent"),
    "server's answers lost": createServerCut("oneWay"),
    "server slow": createServerCut("slow"),
    "server sheds": createServerFault("shed", listAll),
    "server fails": createServerFault("error", listServices),
    "server loses answers": createServerFault("lose", listServices),
    "server cuts answers": createServerFault("cut", listAll),
    "server sends extra answers": createServerFault("extra", listServices),
    "server answers without a length and resets": createServerFault("unframedReset", listServices),
    "server answers unsigned": createServerFault("unsigned", listServices),
    "engine hangs": createServerFault("hang", listEngines),
    "configuration changes": world => {
        writeConfiguration(world);
        return endNothing;
    },
    "weights named": world => {
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

/** Faults come in the first part of a run; then the fleet must serve again. */
const faultyPart = 0.6;
const longestFaultMs = 2500;

/** Draws the faults of a run; series of them overlap. */
export function createFaults({ random, lengthMs }: SoakWorld, count: number): SoakFault[] {
    const kinds = Object.keys(faultKinds);
    return Array.from({ length: count }, () => {
        const startsAt = random() * lengthMs * faultyPart;
        return {
            kind: kinds[Math.floor(random() * kinds.length)] ?? "",
            startsAt,
            endsAt: startsAt + 200 + random() * longestFaultMs,
            pick: random(),
            state: "waiting" as const,
            end: endNothing,
        };
    }).sort((left, right) => left.startsAt - right.startsAt);
}

/** Starts and ends the faults that are due. A process or server has one fault of each kind at a time. */
export function runFaults(world: SoakWorld): void {
    const now = getSoakTime(world);
    for (const fault of world.faults) {
        if (fault.state === "waiting" && now >= fault.startsAt) {
            const isOnProcess = fault.kind.startsWith("process");
            const isTaken = isOnProcess && choose(world.nodes, fault.pick).isDisturbed;
            fault.state = isTaken ? "over" : "running";
            fault.end = isTaken ? endNothing : faultKinds[fault.kind]?.(world, fault) ?? endNothing;
        }
        else if (fault.state === "running" && now >= fault.endsAt) {
            fault.state = "over";
            fault.end();
        }
    }
}

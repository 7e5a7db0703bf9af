/** Baselines: systems that replace `routeRequests` and choose targets by other policies. */
import { formatPrefixId } from "../src/policy/prefix";
import { listByRendezvous } from "../src/policy/rendezvous";
import {
    type Candidate,
    canServe,
    hasAnyRoom,
    hasRoom,
    listCandidates,
    listTargetsWithRoom,
    sendToTarget,
} from "../src/systems/routeRequests";
import type { RequestRow } from "../src/tables/requests";
import type { System, Tick, World } from "../src/world";
import type { FakeEngine } from "./engine";
import { createRandom } from "./random";

/** Orders queued requests by priority, and within a priority takes one request of each account in turn. */
function listInFairOrder(rows: readonly RequestRow[]): RequestRow[] {
    const turns = new Map<string, number>();
    return rows
        .map(row => {
            const turn = turns.get(row.account ?? "") ?? 0;
            turns.set(row.account ?? "", turn + 1);
            return { row, turn };
        })
        .sort((left, right) => right.row.priority - left.row.priority || left.turn - right.turn)
        .map(({ row }) => row);
}

export type BaselineName =
    | "random"
    | "round robin"
    | "least load"
    | "affinity hash"
    | "omniscient, first token"
    | "omniscient, hits";

export interface BaselineContext {
    readonly seed: number;
    readonly findEngine: (target: string) => FakeEngine | undefined;
}

/** Chooses a target for the request; undefined leaves the request in the queue. */
type ChooseTarget = (world: World, tick: Tick, row: RequestRow) => Candidate | undefined;

const listCandidatesWithRoom = (world: World, tick: Tick, row: RequestRow): Candidate[] =>
    listCandidates(world, tick, row, listTargetsWithRoom(world, tick, row));

function findBest(candidates: readonly Candidate[], compute: (candidate: Candidate) => number): Candidate | undefined {
    return candidates.reduce<Candidate | undefined>(
        (best, candidate) => (best === undefined || compute(candidate) < compute(best) ? candidate : best),
        undefined,
    );
}

/**
 * Chooses by the exact time to the first token of every engine, which a router cannot compute. `missWeight` multiplies
 * the prefill time of missed tokens: 1 gives the shortest time for this request, higher values prefer cache hits.
 */
function createOmniscient({ findEngine }: BaselineContext, missWeight: number): ChooseTarget {
    return (world, _tick, row) => {
        const model = row.model && world.tables.configuration.document.models[row.model.model];
        const rate = model?.prefillTokensPerSecond ?? 1;
        const blocks = row.blocks.map(formatPrefixId);
        const candidates = world.tables.targets.list().flatMap((target): Candidate[] => {
            const engine = findEngine(target.id);
            if (!engine?.isUp()) {
                return [];
            }
            const { firstTokenMs, missedTokens } = engine.estimateFirstToken(blocks, row.promptTokens);
            const scoreMs = firstTokenMs + (missWeight - 1) * (missedTokens / rate) * 1000;
            const hitTokens = row.promptTokens - missedTokens;
            return [{ target, score: { target: target.id, scoreMs, waitMs: firstTokenMs, missedTokens, hitTokens } }];
        });
        return findBest(candidates, candidate => candidate.score.scoreMs);
    };
}

const builders: { readonly [Name in BaselineName]: (context: BaselineContext) => ChooseTarget; } = {
    "random": ({ seed }) => {
        const random = createRandom(seed);
        return (world, tick, row) => {
            const candidates = listCandidatesWithRoom(world, tick, row);
            return candidates[Math.floor(random.getNext() * candidates.length)];
        };
    },
    "round robin": () => {
        let turn = 0;
        return (world, tick, row) => {
            const candidates = listCandidatesWithRoom(world, tick, row);
            const sorted = [...candidates].sort((left, right) => (left.target.id < right.target.id ? -1 : 1));
            turn += 1;
            return sorted[turn % sorted.length];
        };
    },
    "least load": () => (world, tick, row) =>
        findBest(listCandidatesWithRoom(world, tick, row), candidate => candidate.score.waitMs),
    "affinity hash": () => (world, tick, row) => {
        const targets = world.tables.targets.list().filter(target => canServe(target, row, tick));
        const firstBlock = row.blocks[0];
        const order = listByRendezvous(
            world.hasher,
            firstBlock === undefined ? row.id : formatPrefixId(firstBlock),
            targets.map(target => target.id),
        );
        const preferred = targets.find(target => target.id === order[0]);
        return preferred && hasRoom(preferred) ? listCandidates(world, tick, row, [preferred])[0] : undefined;
    },
    "omniscient, first token": context => createOmniscient(context, 1),
    "omniscient, hits": context => createOmniscient(context, 3),
};

export const baselineNames = Object.keys(builders) as BaselineName[];

/** Creates the system that routes by the baseline's policy. */
export function createBaseline(name: BaselineName, context: BaselineContext): System {
    const choose = builders[name](context);
    return (world, tick) => {
        if (!hasAnyRoom(world)) {
            return;
        }
        for (const row of listInFairOrder(world.tables.requests.list("queued"))) {
            const chosen = tick.now < row.notBefore ? undefined : choose(world, tick, row);
            if (chosen) {
                sendToTarget(world, tick, row, chosen, [chosen]);
            }
        }
    };
}

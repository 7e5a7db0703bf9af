/** Chooses a target for each waiting request and sends it. */
import { logInfo } from "../../effects";
import { addMillis } from "../../ids";
import { createRetryBudget, hasRetry, recordFirstSend, reserveRetry } from "../../policy/retryBudget";
import type { ForwardCall } from "../calls";
import type { RouteKind } from "../document";
import type { ForwardTick } from "../events";
import { getNewestWeights } from "../tables/configuration";
import { formatAttemptKey, type ForwardRequestRow } from "../tables/requests";
import { type ForwardTargetRow, isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { chooseEngine, computeOutdatedAge, type TargetChoice } from "./chooseEngine";
import { refuseForward } from "./requestEnd";
import { computeSalt } from "./salts";
import { fullBackOffMs } from "./targetHealth";

/** A request that finds every target closed waits this part of its objective, then is refused as not run. */
const waitFraction = 0.125;
/** A request whose target would begin later than this part of its objective is refused before it is sent. */
const longestQueue = 0.9;
/** Time after which a caller whose request found no target should come back. */
const noTargetRetrySeconds = 0.3;
/** Part of the time allowed for new weights after which an engine that lacks them gets no request. */
const outdatedLimit = 0.85;
/** A target that owes answers and has been silent for this long gets nothing new. */
const silentMs = 900;

/** True when the target owes an answer that was sent long enough ago and nothing has come from it since. */
function isSilent(target: ForwardTargetRow, tick: ForwardTick): boolean {
    for (const { sentAt } of target.work.values()) {
        if (tick.now - sentAt > silentMs && target.heardAt < sentAt) {
            return true;
        }
    }
    return false;
}

const isOutdated = (
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: ForwardTargetRow,
): boolean => computeOutdatedAge(world, tick, row, target) > world.settings.bounds.weightsMs * outdatedLimit;

function canTake(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, target: ForwardTargetRow): boolean {
    return isWorking(target, tick.now)
        && !isSilent(target, tick)
        && !isOutdated(world, tick, row, target);
}

/**
 * Engines with the newest weights. One with older weights is the next to be ordered, and then refuses a stream that is
 * resumed there or must be left again.
 */
function listCurrent(
    world: ForwardWorld,
    { arrival: { model } }: ForwardRequestRow,
    able: readonly ForwardTargetRow[],
): ForwardTargetRow[] {
    const newest = model && getNewestWeights(world.tables.configuration, model)?.version;
    return able.filter(target => (model && target.weights.get(model)) === newest);
}

/**
 * Targets that can take the request; one that it was sent to before is listed only when there is no other. When all
 * are expected to load weights they are asked all the same: the orders may be old news of a store that was away.
 */
function listAble(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): ForwardTargetRow[] {
    const working = world.tables.targets.listService(row.service).filter(target => canTake(world, tick, row, target));
    const notLoading = working.filter(target => tick.now >= target.loadingUntil);
    const able = notLoading.length > 0 || row.attempts.length > 0
        ? notLoading
        : working.filter(target => target.loadingUntil - tick.now > fullBackOffMs);
    if (row.isRelaying) {
        const current = listCurrent(world, row, able);
        if (current.length > 0) {
            return current;
        }
    }
    const untried = able.filter(target => !row.attempts.some(attempt => attempt.target === target.registration.id));
    return untried.length > 0 ? untried : able;
}

/** Milliseconds that one request in flight weighs at a plain service. */
const serviceWorkMs = 10;
const serviceRemoteMs = 5;
const serviceFailureMs = 200;

function chooseServiceTarget(world: ForwardWorld, able: readonly ForwardTargetRow[]): TargetChoice | undefined {
    let best: TargetChoice | undefined;
    for (const target of able) {
        const remoteMs = target.registration.dataCentre === world.settings.dataCentre ? 0 : serviceRemoteMs;
        const scoreMs = target.work.size * serviceWorkMs
            + remoteMs
            + target.failureShare * serviceFailureMs
            + world.random();
        if (!best || scoreMs < best.scoreMs) {
            best = { target, scoreMs, queueMs: 0, version: undefined, heldTokens: 0, fetchFrom: undefined };
        }
    }
    return best;
}

/** Silence of a target, in objectives of the route, after which a repeatable request goes to another one. */
const silentObjectives = { repeatable: 2, single: 0, stream: 3 } as const satisfies Record<RouteKind, number>;
/** Part of the time left that one target may use up in silence. */
const silentFraction = 0.45;

/** A request that may not be repeated waits for its target until its deadline. */
function computeSilentMs(tick: ForwardTick, row: ForwardRequestRow): number | undefined {
    if (!row.isRepeatable || row.attempts.length >= row.route.maxTargets) {
        return undefined;
    }
    const left = row.deadline - tick.now;
    return Math.max(1, Math.min(left * silentFraction, row.route.objectiveMs * silentObjectives[row.route.kind]));
}

/** A caller waits in the middle of a stream that is resumed. */
const resumedPriority = 0;
/** Most urgent and least urgent priority that this process gives to requests; engines know 0 to 9. */
const firstPriority = 1;
const lastPriority = 9;
/** The account's priority goes first, and among its equals the route's, of which there are about this many. */
const routePriorities = 3;

function buildCall(tick: ForwardTick, row: ForwardRequestRow, choice: TargetChoice): ForwardCall {
    const { registration } = choice.target;
    const call: ForwardCall = {
        target: registration.id,
        address: registration.address,
        instance: registration.instance,
        account: row.accountId,
        waitMs: Math.max(1, Math.floor(row.deadline - tick.now)),
        silentMs: computeSilentMs(tick, row),
        resumeAfter: row.lastEventId > 0 ? row.lastEventId : undefined,
    };
    if (choice.version === undefined) {
        return call;
    }
    const priority = row.lastEventId > 0
        ? resumedPriority
        : firstPriority + (row.account?.priority ?? 0) * routePriorities + row.route.priority;
    return {
        ...call,
        engine: {
            salt: computeSalt(row, choice.version),
            version: choice.version,
            priority: Math.min(lastPriority, priority),
            fetchFrom: choice.fetchFrom,
            copyTo: choice.copyTo,
        },
    };
}

/** Part of the fleet's fixed allowance of repeats that a process keeps ready; the rest comes back over a window. */
const budgetPart = 0.45;

function recordSend(world: ForwardWorld, row: ForwardRequestRow): void {
    const { retryBudgets, members } = world.tables;
    const { retryMin, retryRatio } = world.settings.bounds;
    const burst = Math.max(1, retryMin * budgetPart / Math.max(1, members.countLive()));
    const budget = retryBudgets.get(row.service) ?? createRetryBudget({ burst });
    retryBudgets.set(row.service, budget);
    if (row.attempts.length === 0) {
        recordFirstSend(budget, retryRatio);
    }
}

function sendToTarget(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, choice: TargetChoice): void {
    const { target, version } = choice;
    recordSend(world, row);
    const number = row.attempts.length + 1;
    row.attempts.push({
        number,
        target: target.registration.id,
        sentAt: tick.now,
        weights: version,
        evidence: { bytesHanded: false, answer: "none" },
        isOpen: true,
        outcome: "",
    });
    if (target.backOffUntil > 0) {
        target.trial = row.id;
    }
    target.work.set(row.id, {
        missedTokens: Math.max(0, row.arrival.promptTokens - choice.heldTokens),
        sentAt: tick.now,
        hasAnswered: false,
    });
    world.tables.requests.updateState(row, "running");
    const call = buildCall(tick, row, choice);
    if (call.silentMs !== undefined) {
        const at = addMillis(tick.now, call.silentMs);
        world.timers.schedule({ name: "attemptSilence", at, key: formatAttemptKey(row.id, number) });
    }
    world.effects.append({ kind: "sendRequest", request: row.id, attempt: number, call });
    logInfo(world.effects, "route:", "Request is sent.", {
        request: row.id,
        route: row.route.id,
        account: row.accountId,
        attempt: number,
        target: target.registration.id,
        scoreMs: Math.round(choice.scoreMs),
        heldTokens: choice.heldTokens,
        promptTokens: row.arrival.promptTokens,
        fetchFrom: choice.fetchFrom,
        copyTo: choice.copyTo,
        sharedPart: row.arrival.parts.at(-2)?.id,
        sharedTokens: row.arrival.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0),
        weights: version,
        work: target.work.size,
        version: world.tables.configuration.version,
        storeAgeMs: Math.round(tick.now - world.tables.node.storeHeardAt),
    });
}

/** Time after which a stream that waits to be resumed is looked at again. */
const resumeRetryMs = 100;

/** Reserves what a stream that is resumed owes to the retry budget; false while the budget is used up. */
function reserveOwedRetry(world: ForwardWorld, row: ForwardRequestRow): boolean {
    const budget = world.tables.retryBudgets.get(row.service);
    if (!row.owesRetry || !budget) {
        return true;
    }
    if (!hasRetry(budget)) {
        return false;
    }
    reserveRetry(budget);
    row.owesRetry = false;
    return true;
}

function routeRequest(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): void {
    if (!reserveOwedRetry(world, row)) {
        world.timers.schedule({ name: "requestRetry", at: addMillis(tick.now, resumeRetryMs), key: row.id });
        return;
    }
    const able = listAble(world, tick, row);
    const choice = row.arrival.parts.length > 0
        ? chooseEngine(world, tick, row, able)
        : chooseServiceTarget(world, able);
    if (choice && choice.queueMs > row.route.objectiveMs * longestQueue && row.attempts.length === 0) {
        refuseForward(world, tick, row, "overloaded", choice.queueMs / 1000);
        return;
    }
    if (choice) {
        sendToTarget(world, tick, row, choice);
        return;
    }
    if (row.isRelaying) {
        world.timers.schedule({ name: "requestRetry", at: addMillis(tick.now, resumeRetryMs), key: row.id });
        return;
    }
    const waitUntil = addMillis(row.arrival.arrivedAt, row.route.objectiveMs * waitFraction);
    if (tick.now < waitUntil) {
        world.timers.schedule({ name: "requestRetry", at: waitUntil, key: row.id });
        return;
    }
    refuseForward(world, tick, row, "no_target", noTargetRetrySeconds);
}

/**
 * Reads: configuration, members, held parts. Writes: requests, targets (work), retry budgets.
 * Effects: requests to targets, refusals, log lines.
 */
export function routeRequests(world: ForwardWorld, tick: ForwardTick): void {
    for (const row of world.tables.requests.list("queued")) {
        routeRequest(world, tick, row);
    }
}

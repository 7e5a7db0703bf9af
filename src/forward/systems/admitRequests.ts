/** Admits or refuses arriving requests: checks configuration, route, key and rate limit, and sets the deadline. */
import { type LogFields, logInfo, logWarning } from "../../effects";
import { addMillis, type Millis } from "../../ids";
import { type RefusalCode } from "../../refusals";
import type { ForwardArrival } from "../calls";
import type { ForwardAccount, ForwardRoute } from "../document";
import type { ForwardTick } from "../events";
import type { ServiceId } from "../ids";
import type { ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";
import { canFinish, isAdmitting } from "./drainNode";
import { recordServiceLoad } from "./requestLimits";
import { reserveTokens } from "./reserveTokens";
import { findQuarantine } from "./updateQuarantine";

/** Retry delay sent by a process that has no configuration yet. */
const startingRetryAfterSeconds = 0.5;
const drainingRetryAfterSeconds = 0.1;
/** Shortest retry delay of a rate-limited caller, about the time that its next request takes to arrive. */
const minRetryAfterSeconds = 0.05;

type Decision =
    | {
        readonly kind: "refuse";
        readonly code: RefusalCode;
        readonly retryAfterSeconds?: number;
        /** Inputs of the decision, for the log. */
        readonly inputs?: LogFields;
    }
    | { readonly kind: "admit"; readonly account: ForwardAccount | undefined; readonly route: ForwardRoute; };

const refuse = (code: RefusalCode, retryAfterSeconds?: number): Extract<Decision, { readonly kind: "refuse"; }> => ({
    kind: "refuse",
    code,
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
});

/** Tokens that are charged to the account. */
const computeTokens = (arrival: ForwardArrival, account: ForwardAccount | undefined): number =>
    arrival.hasTokenCounts ? arrival.promptTokens + arrival.maxOutputTokens : account?.defaultRequestTokens ?? 0;

/** The end of the caller's time limit or of the route's timeout, whichever is earlier. */
const computeDeadline = (arrival: ForwardArrival, route: ForwardRoute): Millis =>
    addMillis(arrival.arrivedAt, Math.min(arrival.callerTimeoutMs ?? route.timeoutMs, route.timeoutMs));

function checkAdmission(world: ForwardWorld, tick: ForwardTick, arrival: ForwardArrival): Decision {
    const { configuration } = world.tables;
    const { document } = configuration;
    if (!document) {
        return refuse("configuration_missing", startingRetryAfterSeconds);
    }
    if (!isAdmitting(world, tick)) {
        return refuse("draining", drainingRetryAfterSeconds);
    }
    const route = configuration.findRoute(arrival.host, arrival.path);
    if (!route) {
        return refuse("route_unknown");
    }
    if (arrival.attemptId === undefined) {
        return refuse("bad_request");
    }
    if (!canFinish(world, route.kind, computeDeadline(arrival, route))) {
        return refuse("draining", drainingRetryAfterSeconds);
    }
    const account = arrival.keyHash === undefined ? undefined : configuration.findAccount(arrival.keyHash);
    if (!account && document.needsKeys && !route.isOpen) {
        return refuse(arrival.keyHash === undefined ? "key_missing" : "key_unknown");
    }
    const quarantined = findQuarantine(world, tick, { arrival });
    if (quarantined) {
        const { part, retryAfterSeconds } = quarantined;
        return { ...refuse("prompt_quarantined", retryAfterSeconds), inputs: { part } };
    }
    const exceeded = account && reserveTokens(world, tick.now, account, computeTokens(arrival, account));
    if (exceeded) {
        const retryAfterSeconds = Math.max(minRetryAfterSeconds, exceeded.waitMs / 1000);
        return { ...refuse("rate_limited", retryAfterSeconds), inputs: { account: account.id, ...exceeded } };
    }
    return { kind: "admit", account, route };
}

function chooseService(world: ForwardWorld, route: ForwardRoute): ServiceId {
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let point = world.random() * total;
    for (const { service, weight } of route.services) {
        point -= weight;
        if (point < 0) {
            return service;
        }
    }
    return route.services[0]?.service as ServiceId;
}

function createRow(
    world: ForwardWorld,
    arrival: ForwardArrival,
    { account, route }: Extract<Decision, { readonly kind: "admit"; }>,
): ForwardRequestRow {
    return {
        id: arrival.request,
        arrival,
        account,
        accountId: account?.id,
        route,
        service: chooseService(world, route),
        tokens: account ? computeTokens(arrival, account) : 0,
        deadline: computeDeadline(arrival, route),
        isRepeatable: route.kind === "repeatable" || (route.kind === "stream" && route.isResumable),
        state: "queued",
        attempts: [],
        isRelaying: false,
        lastEventId: arrival.lastEventId ?? 0,
        hasFirstEvent: false,
        needsRetryReservation: false,
        waitsFor: undefined,
        hasExtraRetryReserved: false,
    };
}

function refuseArrival(
    world: ForwardWorld,
    arrival: ForwardArrival,
    { code, retryAfterSeconds, inputs }: Extract<Decision, { readonly kind: "refuse"; }>,
): void {
    world.effects.append({
        kind: "refuseRequest",
        request: arrival.request,
        refusal: { code, verdict: "not_run", ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) },
    });
    world.effects.append({ kind: "releaseRequest", request: arrival.request });
    const labels = { code, verdict: "not_run" };
    world.effects.append({ kind: "addCount", name: "refusals_total", value: 1, labels });
    logWarning(world.effects, "admit:", "Request was refused.", {
        request: arrival.request,
        code,
        verdict: "not_run",
        host: arrival.host,
        path: arrival.path,
        retryAfterSeconds,
        ...inputs,
        version: world.tables.configuration.version,
        storeAgeMs: Math.round(arrival.arrivedAt - world.tables.node.storeConfirmedAt),
    });
}

/**
 * Reads: configuration, members, peers, node, quarantine. Writes: requests, usage windows, service loads.
 * Effects: refusals, deadline timers, counts, log lines.
 */
export function admitRequests(world: ForwardWorld, tick: ForwardTick): void {
    const arrived = tick.events.list("requestArrived");
    if (arrived.length === 0) {
        return;
    }
    const disconnected = new Set(tick.events.list("callerDisconnected").map(event => event.request));
    for (const { arrival } of arrived) {
        // `expireRequests` handled this tick's `callerDisconnected` events before the request had a row.
        if (disconnected.has(arrival.request)) {
            logInfo(world.effects, "stream:", "Caller closed the connection.", { request: arrival.request });
            world.effects.append({ kind: "releaseRequest", request: arrival.request });
            continue;
        }
        const decision = checkAdmission(world, tick, arrival);
        if (decision.kind === "refuse") {
            refuseArrival(world, arrival, decision);
            continue;
        }
        const row = createRow(world, arrival, decision);
        world.tables.requests.add(row);
        recordServiceLoad(world, tick, row.service);
        world.timers.schedule({ name: "requestDeadline", at: row.deadline, key: row.id });
        const labels = { route: row.route.id, account: row.accountId ?? "" };
        world.effects.append({ kind: "addCount", name: "requests_total", value: 1, labels });
    }
}

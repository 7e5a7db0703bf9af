/** Admits arriving requests: checks API key, account, route and queue limit; computes size, deadline and priority. */
import {
    type ConfigurationDocument,
    type Model,
    type ModelReference,
    type Route,
    toModelReference,
} from "../config/document";
import { logInfo } from "../effects";
import { type AccountId, addMillis, type CallId, type KeyHash, type PrefixId, type RouteId } from "../ids";
import { canTrustKeys } from "../policy/freshness";
import { computeScopeSeed, hashBlocks } from "../policy/prefix";
import type { Refusal, RefusalCode } from "../refusals";
import type { RequestArrival } from "../requests";
import type { RequestRow } from "../tables/requests";
import type { Tick, World } from "../world";

type Decision =
    | { readonly kind: "refuse"; readonly code: RefusalCode; readonly options?: Partial<Refusal>; }
    | {
        readonly kind: "admit";
        readonly account: AccountId | undefined;
        readonly routeId: RouteId;
        readonly route: Route;
    };

const refuse = (code: RefusalCode, options: Partial<Refusal> = {}): Decision => ({ kind: "refuse", code, options });

/** Finds the account that an API key belongs to. */
export function findAccount(document: ConfigurationDocument, keyHash: KeyHash | undefined): AccountId | undefined {
    const key = keyHash === undefined ? undefined : document.keys[keyHash];
    return key?.account as AccountId | undefined;
}

/** True when the account may use the route. */
export function canUseRoute(route: Route, account: AccountId | undefined): boolean {
    if (route.open) {
        return true;
    }
    return account !== undefined && (route.accounts === undefined || route.accounts.includes(account));
}

function findRoute(document: ConfigurationDocument, arrival: RequestArrival): [RouteId, Route] | undefined {
    const routeId = arrival.routeName as RouteId;
    const route = Object.hasOwn(document.routes, routeId) ? document.routes[routeId] : undefined;
    const isService = arrival.endpoint === "service";
    return route && (route.kind === "service") === isService ? [routeId, route] : undefined;
}

function checkAdmission(world: World, arrival: RequestArrival): Decision {
    const { configuration, node, requests } = world.tables;
    if (!node.isAdmitting) {
        return refuse("draining", { retryAfterSeconds: 1 });
    }
    if (configuration.version === 0) {
        return refuse("configuration_missing", { retryAfterSeconds: 1 });
    }
    const foundRoute = findRoute(configuration.document, arrival);
    if (foundRoute?.[1].open) {
        return { kind: "admit", account: undefined, routeId: foundRoute[0], route: foundRoute[1] };
    }
    if (arrival.keyHash === undefined) {
        return refuse("key_missing");
    }
    if (!canTrustKeys(configuration.freshness)) {
        return refuse("configuration_stale", { retryAfterSeconds: 1 });
    }
    const account = findAccount(configuration.document, arrival.keyHash);
    if (account === undefined) {
        return refuse("key_unknown");
    }
    if (!foundRoute || !canUseRoute(foundRoute[1], account)) {
        return refuse("route_unknown");
    }
    const waitingCount = (["reserving", "claiming", "queued"] as const)
        .flatMap(state => requests.list(state))
        .filter(row => row.account === account).length;
    if (waitingCount >= world.settings.limits.queuedRequests) {
        return refuse("overloaded", { retryAfterSeconds: 1 });
    }
    return { kind: "admit", account, routeId: foundRoute[0], route: foundRoute[1] };
}

interface PromptFacts {
    readonly model: ModelReference | undefined;
    readonly blocks: readonly PrefixId[];
    readonly blockTokens: number;
    readonly promptTokens: number;
    readonly maxTokens: number;
}

function computeModelFacts(
    world: World,
    arrival: RequestArrival,
    model: ModelReference,
    modelSettings: Model,
    account: AccountId | undefined,
): PromptFacts {
    const seed = computeScopeSeed(world.hasher, { account, ...model });
    const blockBytes = Math.floor(modelSettings.blockTokens * modelSettings.bytesPerToken);
    return {
        model,
        blocks: hashBlocks(world.hasher, arrival.prompt, { seed, blockBytes }),
        blockTokens: modelSettings.blockTokens,
        promptTokens: Math.ceil(arrival.prompt.length / modelSettings.bytesPerToken),
        maxTokens: arrival.maxTokens ?? modelSettings.defaultMaxTokens,
    };
}

function computePromptFacts(
    world: World,
    arrival: RequestArrival,
    route: Route,
    account: AccountId | undefined,
): PromptFacts {
    if (route.kind === "service") {
        return { model: undefined, blocks: [], blockTokens: 0, promptTokens: route.tokens, maxTokens: 0 };
    }
    const model = toModelReference(route);
    const modelSettings = world.tables.configuration.document.models[model.model] as Model;
    return computeModelFacts(world, arrival, model, modelSettings, account);
}

const safeMethods = new Set(["GET", "HEAD", "OPTIONS"]);

function createRequestRow(
    world: World,
    arrival: RequestArrival,
    admission: Extract<Decision, { readonly kind: "admit"; }>,
): RequestRow {
    const { account, route, routeId } = admission;
    const { prompt: _prompt, ...arrivalWithoutPrompt } = arrival;
    const maxTimeoutMs = world.settings.timeouts.requestMs;
    const timeoutMs = Math.min(arrival.timeoutMs ?? maxTimeoutMs, maxTimeoutMs);
    const accountPriority = account === undefined
        ? 0
        : world.tables.configuration.document.accounts[account]?.priority ?? 0;
    return {
        id: arrival.request,
        arrival: arrivalWithoutPrompt,
        account,
        routeId,
        route,
        ...computePromptFacts(world, arrival, route, account),
        deadline: addMillis(arrival.arrivedAt, timeoutMs),
        priority: Math.min(arrival.priority ?? accountPriority, accountPriority),
        repeatable: route.repeatable || (route.kind === "service" && safeMethods.has(arrival.method)),
        state: "reserving",
        reservations: [],
        claim: undefined,
        attempts: [],
        decisions: [],
        isRelaying: false,
        targetWait: undefined,
        notBefore: arrival.arrivedAt,
        queuedAt: undefined,
        refusal: undefined,
    };
}

function refuseArrival(world: World, arrival: RequestArrival, code: RefusalCode, options: Partial<Refusal>): void {
    const refusal: Refusal = { ...options, code, verdict: "not_run" };
    world.effects.append({ kind: "refuseRequest", request: arrival.request, refusal });
    world.effects.append({ kind: "releaseRequest", request: arrival.request });
    world.effects.append({ kind: "addCount", name: "refusals_total", value: 1, labels: { code, verdict: "not_run" } });
    logInfo(world.effects, "admit:", "Request refused.", { request: arrival.request, code, verdict: "not_run" });
}

/**
 * Reads: configuration, node. Writes: requests.
 * Effects: refusals, deadline timers, answers to `/v1/models`, log lines.
 */
export function admitRequests(world: World, tick: Tick): void {
    const disconnectedRequests = new Set(tick.events.list("callerDisconnected").map(event => event.request));
    for (const { arrival } of tick.events.list("requestArrived")) {
        // The disconnect of a caller is reported once, so a request that arrived in the same tick is dropped here.
        if (disconnectedRequests.has(arrival.request)) {
            world.effects.append({ kind: "releaseRequest", request: arrival.request });
            continue;
        }
        const decision = checkAdmission(world, arrival);
        if (decision.kind === "refuse") {
            refuseArrival(world, arrival, decision.code, decision.options ?? {});
            continue;
        }
        const row = createRequestRow(world, arrival, decision);
        world.tables.requests.add(row);
        world.timers.schedule({ name: "requestDeadline", at: row.deadline, key: row.id });
        world.effects.append({
            kind: "addCount",
            name: "requests_total",
            value: 1,
            labels: { route: row.routeId, account: row.account ?? "" },
        });
    }
    for (const { call, keyHash } of tick.events.list("modelsRequested")) {
        answerModels(world, call, keyHash);
    }
}

function answerModels(world: World, call: CallId, keyHash: KeyHash | undefined): void {
    const { document } = world.tables.configuration;
    const account = findAccount(document, keyHash);
    const data = Object.entries(document.routes)
        .filter(([, route]) => route.kind === "model" && canUseRoute(route, account))
        .map(([id]) => ({ id, object: "model", owned_by: "marjoramvane" }));
    world.effects.append({ kind: "answerCaller", call, status: 200, body: { object: "list", data } });
}

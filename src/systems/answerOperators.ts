/** Answers the queries of operators: configuration, history, status and explanations of requests. */
import { changePrefix, listChangedEntries, parseChangeRecord } from "../config/records";
import { logWarning } from "../effects";
import type { AccountId, CallId } from "../ids";
import type { HistoryEntry, NodeStatus, OperatorAnswer, QueryCommand, RequestExplanation } from "../operators";
import { updateBucket } from "../policy/bucket";
import { listAnswerRows, type StoreOutcome } from "../store";
import type { RequestRow } from "../tables/requests";
import type { Tick, World } from "../world";
import { getConfirmedAt } from "./applyConfiguration";
import { canTrustOperators, findOperator } from "./operatorAccess";
import { findOwnedBucket } from "./ownership";

type QueryKind = QueryCommand["kind"];
type QueryOf<Kind extends QueryKind> = Extract<QueryCommand, { readonly kind: Kind; }>;

interface QueryHandler<Kind extends QueryKind> {
    /** True when the fleet secret grants access while there is no configuration. */
    readonly isAllowedAtBootstrap: boolean;
    /** True when an isolated process also answers, although it cannot verify that the operator key is still valid. */
    readonly isAllowedWhenIsolated: boolean;
    readonly answer: (world: World, tick: Tick, call: CallId, command: QueryOf<Kind>) => void;
}

/** Sends the answer to an operator's call. */
export function sendAnswer(world: World, call: CallId, answer: OperatorAnswer): void {
    world.effects.append({ kind: "answerOperator", call, answer });
}

const computeSum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Lists available and reserved tokens by account, summed over this VM's floor, its grants and the bucket it owns. */
function listRates(world: World, tick: Tick): NodeStatus["rates"] {
    const { configuration, floors, buckets, grants } = world.tables;
    const accounts = Object.keys(configuration.document.accounts) as AccountId[];
    return accounts.map(account => {
        const ownedBucket = findOwnedBucket(world, account, tick.now);
        const localBuckets = [floors.get(account)?.bucket, ownedBucket?.bucket].filter(bucket => bucket !== undefined);
        localBuckets.forEach(bucket => {
            updateBucket(bucket, tick.now);
        });
        const heldGrants = [...grants.find(account)?.grants.values() ?? []];
        return {
            account,
            owner: buckets.get(account) !== undefined && ownedBucket !== undefined,
            available: Math.floor(
                computeSum([...localBuckets.map(bucket => bucket.level), ...heldGrants.map(grant => grant.available)]),
            ),
            reserved: Math.ceil(
                computeSum([
                    ...localBuckets.map(bucket => bucket.outstanding),
                    ...heldGrants.map(grant => grant.reserved),
                ]),
            ),
        };
    });
}

function listTargets(world: World, tick: Tick): NodeStatus["targets"] {
    return world.tables.targets.list().map(row => ({
        target: row.id,
        state: row.isLeaving ? "leaving" : row.report?.state ?? "unknown",
        ...(row.report ? { model: row.report.model, version: row.report.version } : {}),
        inFlight: row.inFlight.size,
        ...(row.reportedAt === undefined ? {} : { reportAgeMs: Math.round(tick.now - row.reportedAt) }),
    }));
}

function listMembers(world: World, tick: Tick): NodeStatus["members"] {
    return world.tables.members.list().map(row => ({
        vm: row.vm,
        state: row.isLeaving ? "leaving" : row.state,
        ...(row.lastSeenAt === undefined ? {} : { heardAgeMs: Math.round(tick.now - row.lastSeenAt) }),
        configVersion: row.configVersion,
    }));
}

/** The lease is renewed every third of its duration, so a reachable store has answered within half of it. */
function isStoreReachable(world: World, tick: Tick): boolean {
    const { storeAnsweredAt } = world.tables.node;
    return storeAnsweredAt !== undefined
        && tick.now - storeAnsweredAt <= world.settings.membership.leaseSeconds * 500;
}

function buildStatus(world: World, tick: Tick): NodeStatus {
    const { configuration, node, requests } = world.tables;
    const confirmedAt = getConfirmedAt(world);
    return {
        vm: world.settings.vm,
        dataCentre: world.settings.dataCentre,
        incarnation: world.incarnation,
        state: node.state,
        configVersion: configuration.version,
        ...(confirmedAt === undefined ? {} : { confirmedAgeMs: Math.round(tick.now - confirmedAt) }),
        freshness: configuration.freshness,
        storeReachable: isStoreReachable(world, tick),
        members: listMembers(world, tick),
        targets: listTargets(world, tick),
        rates: listRates(world, tick),
        requests: {
            waiting: requests.listOpen().length - requests.count("running"),
            running: requests.count("running"),
        },
    };
}

function buildExplanation(row: RequestRow): RequestExplanation {
    return {
        request: row.id,
        ...(row.account === undefined ? {} : { account: row.account }),
        route: row.routeId,
        state: row.state,
        reservedTokens: row.reservations.reduce((sum, reservation) => sum + reservation.open, 0),
        promptTokens: row.promptTokens,
        reservations: row.reservations.map(({ source, open, spent }) => ({ source: source.kind, open, spent })),
        retries: Math.max(0, row.attempts.length - 1),
        decisions: row.decisions,
        attempts: row.attempts.map(({ target, outcome, state }) => ({ target, outcome: outcome || state })),
        ...(row.refusal ? { refusal: row.refusal.code } : {}),
    };
}

const queryHandlers: { readonly [Kind in QueryKind]: QueryHandler<Kind>; } = {
    getConfiguration: {
        isAllowedAtBootstrap: true,
        isAllowedWhenIsolated: false,
        answer: (world, _tick, call) => {
            const { version, document } = world.tables.configuration;
            sendAnswer(world, call, { kind: "configuration", version, document });
        },
    },
    listHistory: {
        isAllowedAtBootstrap: false,
        isAllowedWhenIsolated: false,
        answer: (world, _tick, call) => {
            world.effects.append({
                kind: "callStore",
                purpose: { for: "configurationHistory", call },
                call: { kind: "range", range: { key: changePrefix, prefix: true } },
            });
        },
    },
    getStatus: {
        isAllowedAtBootstrap: true,
        isAllowedWhenIsolated: true,
        answer: (world, tick, call) => {
            sendAnswer(world, call, { kind: "status", status: buildStatus(world, tick) });
        },
    },
    explainRequest: {
        isAllowedAtBootstrap: false,
        isAllowedWhenIsolated: false,
        answer: (world, _tick, call, { request }) => {
            const row = world.tables.requests.get(request);
            sendAnswer(
                world,
                call,
                row
                    ? { kind: "explanation", explanation: buildExplanation(row) }
                    : { kind: "not_found", message: "This VM knows no such request. Ask the VM that accepted it." },
            );
        },
    },
};

const isQuery = (command: { readonly kind: string; }): command is QueryCommand =>
    Object.hasOwn(queryHandlers, command.kind);

function answerHistory(world: World, call: CallId, { result }: StoreOutcome): void {
    if (result.err) {
        const message = `The history could not be read: ${result.val.message}`;
        sendAnswer(world, call, { kind: "unavailable", effect: "none", message });
        return;
    }
    const entries = listAnswerRows(result.val)
        .map(row => parseChangeRecord(row.value))
        .filter(record => record !== undefined)
        .map(({ version, at, operator, note, change }): HistoryEntry => ({
            version,
            at,
            operator,
            note,
            changed: listChangedEntries(change),
        }));
    sendAnswer(world, call, { kind: "history", entries });
}

function answerQuery(world: World, tick: Tick, call: CallId, command: QueryCommand, hasFleetSecret: boolean): void {
    const handler = queryHandlers[command.kind] as QueryHandler<QueryKind>;
    const access = findOperator(world, { command, hasFleetSecret });
    if (access.kind === "none" || (access.kind === "bootstrap" && !handler.isAllowedAtBootstrap)) {
        logWarning(world.effects, "config:", "Operator command refused; its key is missing or invalid.", {
            command: command.kind,
        });
        sendAnswer(world, call, { kind: "unauthorized" });
        return;
    }
    if (!handler.isAllowedWhenIsolated && !canTrustOperators(world)) {
        const message = "This VM is cut off and cannot confirm that operator keys are still valid.";
        sendAnswer(world, call, { kind: "unavailable", effect: "none", message });
        return;
    }
    handler.answer(world, tick, call, command as QueryOf<QueryKind>);
}

/**
 * Reads: configuration, members, targets, requests, node, grants. Writes: floors and buckets (refill).
 * Effects: answers to operators, store reads, log lines.
 */
export function answerOperators(world: World, tick: Tick): void {
    for (const { call, command, hasFleetSecret } of tick.events.list("operatorCommandReceived")) {
        if (isQuery(command)) {
            answerQuery(world, tick, call, command, hasFleetSecret);
        }
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("configurationHistory")) {
        answerHistory(world, purpose.call, outcome);
    }
}

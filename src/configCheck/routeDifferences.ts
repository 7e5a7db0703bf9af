/** Differences between the routes of two documents. */
import type { Difference, Impact } from "./finding";
import { type ConfigView, type Field, getFieldPlace, type RouteRow } from "./view";

/** Key under which callers reach a route: its host and prefix, or its name where they name it. */
const toRouteKey = ({ id, match }: RouteRow): string => (match ? `${match.host}${match.prefix}` : id);

/** The routes that get requests: of several with one key the first. */
const buildRouteIndex = (routes: readonly RouteRow[]): ReadonlyMap<string, RouteRow> =>
    new Map([...routes].reverse().map(route => [toRouteKey(route), route]));

const formatRequests = (route: RouteRow): string => `requests ${route.match ? "to" : "that name"} ${toRouteKey(route)}`;

type Comparable = readonly (string | number | boolean | undefined)[] | string | number | boolean | undefined;

interface RouteEffect {
    readonly field?: Field;
    /** The compared values as JSON-compatible data. */
    readonly select: (route: RouteRow) => Comparable;
    readonly impact: (after: RouteRow, before: RouteRow) => Impact;
    readonly describe: (after: RouteRow, before: RouteRow) => string;
}

const createImpact = (select: (route: RouteRow) => number) => (after: RouteRow, before: RouteRow): Impact =>
    select(after) < select(before) ? "narrows" : "widens";

const formatShare = (weight: number, total: number): string =>
    `${Math.round(total > 0 ? weight / total * 1000 : 0) / 10}%`;

/** Shares of a route's destinations, for example `orders 90%, orders-2 10%`. */
function formatShares({ destinations }: RouteRow): string {
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    return destinations.map(({ id, weight }) => destinations.length === 1 ? id : `${id} ${formatShare(weight, total)}`)
        .join(", ") || "nothing";
}

/** Destinations with their exact shares; a change below the rounding of the message is a difference as well. */
const listShares = ({ destinations }: RouteRow): Comparable => {
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    return destinations.flatMap(({ id, weight }) => [id, weight / total]);
};

const repeatTexts: Readonly<Record<RouteRow["kind"], string>> = {
    repeatable: "may be sent again after a failure",
    single: "run at most once",
    stream: "are answered as streams",
};

/** Accounts that a message names; it counts the others. */
const maxNamedAccounts = 5;

function formatAccounts(accounts: RouteRow["accounts"]): string {
    if (accounts === undefined || accounts.length === 0) {
        return accounts ? "no account" : "all accounts";
    }
    const named = accounts.slice(0, maxNamedAccounts).map(account => `"${account}"`).join(", ");
    return accounts.length <= maxNamedAccounts ? named : `${named} and ${accounts.length - maxNamedAccounts} more`;
}

const hasAllAccounts = (after: RouteRow, before: RouteRow): boolean => {
    const allowed = after.accounts && new Set(after.accounts);
    return allowed === undefined || (before.accounts ?? [undefined]).every(id => id !== undefined && allowed.has(id));
};

/** Effects by the field that differs. */
const routeEffects: Readonly<Record<string, RouteEffect>> = {
    "route-destination": {
        select: listShares,
        impact: () => "changes",
        describe: (after, before) => `go to ${formatShares(after)} (before: ${formatShares(before)})`,
    },
    "route-kind": {
        select: ({ kind }) => kind,
        impact: ({ kind }) => (kind === "single" ? "narrows" : "changes"),
        describe: ({ kind }, before) => `${repeatTexts[kind]} (before: they ${repeatTexts[before.kind]})`,
    },
    "route-access": {
        field: "isOpen",
        select: ({ isOpen }) => isOpen,
        impact: ({ isOpen }) => (isOpen ? "widens" : "narrows"),
        describe: ({ isOpen }) => (isOpen ? "need no key" : "are refused without a key"),
    },
    "route-accounts": {
        field: "accounts",
        select: ({ accounts }) => accounts && [...accounts].sort(),
        impact: (after, before) => (hasAllAccounts(after, before) ? "widens" : "narrows"),
        describe: (after, before) =>
            `are served for ${formatAccounts(after.accounts)} (before: ${formatAccounts(before.accounts)})`,
    },
    "route-timeout": {
        field: "timeoutMs",
        select: ({ timeoutMs }) => timeoutMs,
        impact: createImpact(({ timeoutMs = 0 }) => timeoutMs),
        describe: (after, before) => `end with an error after ${after.timeoutMs} ms (before: ${before.timeoutMs} ms)`,
    },
    "route-objective": {
        field: "latencyObjectiveMs",
        select: ({ latencyObjectiveMs }) => latencyObjectiveMs,
        impact: createImpact(({ latencyObjectiveMs = 0 }) => latencyObjectiveMs),
        describe: (after, before) =>
            `wait for a target within an objective of ${after.latencyObjectiveMs} ms before they are refused `
            + `(before: ${before.latencyObjectiveMs} ms)`,
    },
    "route-priority": {
        field: "priority",
        select: ({ priority }) => priority,
        impact: createImpact(({ priority = 0 }) => -priority),
        describe: (after, before) =>
            `have priority ${after.priority} (before: ${before.priority}), where 0 is the most urgent`,
    },
    "route-attempts": {
        field: "maxTargets",
        select: ({ maxTargets }) => maxTargets,
        impact: createImpact(({ maxTargets = 1 }) => maxTargets),
        describe: (after, before) => `may run on ${after.maxTargets} targets (before: ${before.maxTargets})`,
    },
    "route-resume": {
        field: "isResumable",
        select: ({ isResumable }) => isResumable,
        impact: ({ isResumable }) => (isResumable ? "widens" : "narrows"),
        describe: ({ isResumable }) =>
            isResumable
                ? "may be resumed after a failure in the middle of a stream"
                : "end when their stream breaks off",
    },
    "route-cost": {
        select: ({ callTokens }) => callTokens,
        impact: createImpact(({ callTokens = 0 }) => -callTokens),
        describe: (after, before) => `reserve ${after.callTokens} tokens at least (before: ${before.callTokens})`,
    },
    "route-renamed": {
        select: ({ id }) => id,
        impact: () => "changes",
        describe: (after, before) => `are logged under route "${after.id}" (before: "${before.id}")`,
    },
    "route-settings": {
        select: ({ other }) => other,
        impact: () => "changes",
        describe: () => "are routed with other settings",
    },
};

const listFieldDifferences = (view: ConfigView, after: RouteRow, before: RouteRow): readonly Difference[] =>
    Object.entries(routeEffects)
        .filter(([, { select }]) => JSON.stringify(select(after)) !== JSON.stringify(select(before)))
        .map(([code, { field, impact, describe }]) => ({
            code,
            place: field ? getFieldPlace(view, after.place, field) : after.place,
            impact: impact(after, before),
            message: `${formatRequests(after)} ${describe(after, before)}`,
        }));

type RouteIndex = ReadonlyMap<string, RouteRow>;

/** Lengths of the prefixes in use, longest first. */
const listPrefixLengths = (routes: RouteIndex): readonly number[] =>
    [...new Set([...routes.values()].map(({ match }) => match?.prefix.length ?? 0))].sort((left, right) =>
        right - left
    );

/** Finds the route that requests fall to without the given one: the longest shorter prefix of the same host. */
function findOuterRoute(routes: RouteIndex, lengths: readonly number[], { match }: RouteRow): RouteRow | undefined {
    if (match === undefined) {
        return undefined;
    }
    const { host, prefix } = match;
    const length = lengths.find(shorter => shorter < prefix.length && routes.has(`${host}${prefix.slice(0, shorter)}`));
    return length === undefined ? undefined : routes.get(`${host}${prefix.slice(0, length)}`);
}

/** Lists what changes for the requests of each route. */
export function listRouteDifferences(after: ConfigView, before: ConfigView): readonly Difference[] {
    const oldRoutes = buildRouteIndex(before.routes);
    const newRoutes = buildRouteIndex(after.routes);
    const oldLengths = listPrefixLengths(oldRoutes);
    const newLengths = listPrefixLengths(newRoutes);
    const buildAdded = (route: RouteRow): Difference => {
        const outer = findOuterRoute(oldRoutes, oldLengths, route);
        return {
            code: "route-added",
            place: route.place,
            impact: outer ? "changes" : "widens",
            message: `${formatRequests(route)} go to ${formatShares(route)} (before: ${
                outer ? `route "${outer.id}"` : "refused as unknown"
            })`,
        };
    };
    const buildRemoved = (route: RouteRow): Difference => {
        const outer = findOuterRoute(newRoutes, newLengths, route);
        return {
            code: "route-removed",
            place: outer?.place ?? [],
            impact: outer ? "changes" : "narrows",
            message: `${formatRequests(route)} ${outer ? `fall to route "${outer.id}"` : "are refused as unknown"} `
                + `(before: ${formatShares(route)})`,
        };
    };
    return [
        ...[...newRoutes].flatMap(([key, route]) => {
            const old = oldRoutes.get(key);
            return old ? listFieldDifferences(after, route, old) : [buildAdded(route)];
        }),
        ...[...oldRoutes].filter(([key]) => !newRoutes.has(key)).map(([, route]) => buildRemoved(route)),
    ];
}

/** Checks for entries that can never match or be used. */
import type { Occurrence, Place } from "./finding";
import { type ConfigView, type DestinationRow, getFieldPlace, type RouteRow } from "./view";

interface Identified {
    readonly id: string;
    readonly place: Place;
}

function listRepeated(section: string, rows: readonly Identified[]): readonly Occurrence[] {
    const first = new Map<string, Place>();
    return rows.flatMap(({ id, place }) => {
        const before = first.get(id);
        if (before === undefined) {
            first.set(id, place);
            return [];
        }
        return [{ place, message: `${section} "${id}" is defined before, at ${before.join(".")}` }];
    });
}

/** Entries of lists whose name occurs twice. */
export const listRepeatedEntries = ({ routes, services, accounts }: ConfigView): readonly Occurrence[] => [
    ...listRepeated("route", routes),
    ...listRepeated("service", services),
    ...listRepeated("account", accounts),
];

/** Routes for the same host and prefix as an earlier one. Longer prefixes go first, so nothing else shadows a route. */
export function listShadowedRoutes({ routes }: ConfigView): readonly Occurrence[] {
    const first = new Map<string, RouteRow>();
    return routes.flatMap(route => {
        const key = route.match && JSON.stringify([route.match.host, route.match.prefix]);
        if (key === undefined) {
            return [];
        }
        const before = first.get(key);
        if (before === undefined) {
            first.set(key, route);
            return [];
        }
        return [{
            place: route.place,
            message: `route "${route.id}" gets no request: route "${before.id}" at ${
                before.place.join(".")
            } has the same host and prefix`,
        }];
    });
}

const hasPort = /:\d+$/;
/** Characters that a host name or address cannot have; a pattern such as `*.example` is compared literally. */
const foreignToHost = /[^a-z0-9._:[\]-]/;
/** Characters that the path of a request never has: the query begins at `?`, and the others cannot be sent. */
const foreignToPath = /[?#\s\u0000-\u001f\u007f-\uffff]/;

/** Largest head of a request within the documented limits. */
const maxHeadBytes = 16_384;

function findRouteObstacle({ host, prefix }: NonNullable<RouteRow["match"]>): ["host" | "prefix", string] | undefined {
    if (host === "" || foreignToHost.test(host)) {
        return ["host", "is no host name, and patterns are not supported"];
    }
    if (hasPort.test(host)) {
        return ["host", "has a port, which is removed from the host of a request before it is compared"];
    }
    if (!prefix.startsWith("/")) {
        return ["prefix", "does not begin with a slash, as the path of each request does"];
    }
    if (prefix.length > maxHeadBytes) {
        return ["prefix", "is longer than the head of a request may be"];
    }
    return foreignToPath.test(prefix) ? ["prefix", "has characters that the path of no request has"] : undefined;
}

/** Routes whose host or prefix no request can have. */
export const listUnreachableRoutes = (view: ConfigView): readonly Occurrence[] =>
    view.routes.flatMap(({ id, place, match }) => {
        const [field, reason] = match && findRouteObstacle(match) || [];
        return field === undefined
            ? []
            : [{ place: getFieldPlace(view, place, field), message: `${field} of route "${id}" ${reason}` }];
    });

/** Prefixes that end within a segment of the path, and so match more paths than those below it. */
export const listOpenPrefixes = (view: ConfigView): readonly Occurrence[] =>
    view.routes.flatMap(({ id, place, match }) =>
        match === undefined || match.prefix.endsWith("/") ? [] : [{
            place: getFieldPlace(view, place, "prefix"),
            message: `prefix "${match.prefix}" of route "${id}" also matches paths such as "${match.prefix}2"`,
        }]
    );

function listUnknownDestinations({ routes, services }: ConfigView, reason: string): readonly Occurrence[] {
    const known = new Set(services.map(({ id }) => id));
    return routes.flatMap(route =>
        route.destinations.filter(({ id }) => !known.has(id)).map(({ id, place }) => ({
            place,
            message: `route "${route.id}" sends to "${id}", ${reason}`,
        }))
    );
}

/** Destinations of routes for which the document lists no target that stays. */
export const listMissingTargets = (view: ConfigView): readonly Occurrence[] =>
    view.listsTargets ? listUnknownDestinations(view, "for which there is no target, or only leaving ones") : [];

/** Destinations of routes that the document does not define, where it does not list the targets. */
export const listUnknownServices = (view: ConfigView): readonly Occurrence[] =>
    view.listsTargets ? [] : listUnknownDestinations(view, "which the document does not define");

/** Services that no route names. */
export function listUnusedServices({ routes, services }: ConfigView): readonly Occurrence[] {
    const used = new Set(routes.flatMap(route => route.destinations.map(({ id }) => id)));
    return services.filter(({ id, isPartStore }) => !isPartStore && !used.has(id)).map(({ id, place }) => ({
        place,
        message: `no route sends to "${id}"`,
    }));
}

export const listUnusedModels = ({ models }: ConfigView): readonly Occurrence[] =>
    models.filter(({ isUsed }) => !isUsed).map(({ id, place }) => ({ place, message: `no route names model "${id}"` }));

const hasNoWeight = ({ destinations }: RouteRow): boolean => !destinations.some(({ weight }) => weight > 0);

/** Routes that send to nothing, because they have no destination with a weight. */
export const listEmptySplits = ({ routes }: ConfigView): readonly Occurrence[] =>
    routes.filter(hasNoWeight).map(({ id, place }) => ({
        place,
        message: `route "${id}" has no destination with a weight above 0`,
    }));

/** Destinations that get no share of their route's requests. */
export const listZeroWeights = (view: ConfigView): readonly Occurrence[] =>
    view.routes.filter(route => !hasNoWeight(route)).flatMap(({ id, destinations }) =>
        destinations.filter(({ weight }) => weight === 0).map((destination: DestinationRow) => ({
            place: getFieldPlace(view, destination.place, "weight"),
            message: `"${destination.id}" gets no requests of route "${id}"`,
        }))
    );

/** Routes that no key can use. */
export function listClosedRoutes(view: ConfigView): readonly Occurrence[] {
    const holders = new Set(view.keys.filter(({ isUsable }) => isUsable).map(({ account }) => account));
    const canCall = ({ isOpen, accounts }: RouteRow): boolean =>
        isOpen || !view.needsKeys || (accounts ? accounts.some(account => holders.has(account)) : holders.size > 0);
    return view.routes.filter(route => !canCall(route)).map(({ id, place, accounts }) => ({
        place: accounts ? getFieldPlace(view, place, "accounts") : place,
        message: `no key of the document may use route "${id}"`,
    }));
}

export function listAccountsWithoutKey({ accounts, keys }: ConfigView): readonly Occurrence[] {
    const holders = new Set(keys.map(({ account }) => account));
    return accounts.filter(({ id }) => !holders.has(id)).map(({ id, place }) => ({
        place,
        message: `account "${id}" has no key`,
    }));
}

/** Keys that occur twice; the last account that has one gets its requests. */
export function listRepeatedKeys({ keys }: ConfigView): readonly Occurrence[] {
    const last = new Map(keys.map(key => [key.hash, key]));
    return keys.filter(key => last.get(key.hash) !== key).map(({ hash, account, place }) => ({
        place,
        message: `the key of account "${account}" occurs again, and its requests count for "${
            last.get(hash)?.account ?? ""
        }"`,
    }));
}

export const listUnusableKeys = ({ keys }: ConfigView): readonly Occurrence[] =>
    keys.filter(({ isUsable }) => !isUsable).map(({ account, place }) => ({
        place,
        message: `a key of account "${account}" is empty or has characters that no header can carry`,
    }));

export const listIgnoredValues = ({ ignored }: ConfigView): readonly Occurrence[] =>
    ignored.map(({ place, reason }) => ({ place, message: `the value is ignored: ${reason}` }));

export const listMissingKeys = ({ needsKeys, routes }: ConfigView): readonly Occurrence[] =>
    needsKeys || routes.every(({ isOpen }) => isOpen)
        ? []
        : [{ place: [], message: "the document has no account, so every caller may use every route without a key" }];

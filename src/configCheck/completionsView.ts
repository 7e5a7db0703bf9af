/** Translates the configuration document of the completions mode into the view that is checked. */
import type {
    ConfigurationDocument,
    EngineConfiguration,
    KeyEntry,
    Route,
    TargetConfiguration,
} from "../config/document";
import { type ModelId, type RouteId, toAccountId, toKeyHash } from "../ids";
import type { Place } from "./finding";
import {
    type ConfigView,
    type DestinationId,
    type FieldNames,
    type NamedRow,
    type RouteRow,
    type ServiceRow,
    toDestinationId,
} from "./view";

const names: FieldNames = { isOpen: "open", accounts: "accounts", rate: "rate", burst: "burst", priority: "priority" };

type Destination =
    | { readonly kind: "model" | "engine"; readonly model: string; readonly version: string; }
    | { readonly kind: "service"; readonly service: string; };

const toDestination = (entry: Destination): DestinationId =>
    toDestinationId(entry.kind === "service" ? entry.service : `${entry.model}@${entry.version}`);

function buildRoute(document: ConfigurationDocument, name: string, route: Route): RouteRow {
    const { open: isOpen, accounts, repeatable, ...other } = route;
    const place = ["routes", name];
    return {
        id: name as RouteId,
        place,
        other: JSON.stringify({
            ...other,
            model: undefined,
            version: undefined,
            service: undefined,
            tokens: undefined,
        }),
        match: undefined,
        kind: repeatable ? "repeatable" : "single",
        destinations: [{
            id: toDestination(route),
            place: [...place, route.kind === "model" ? "version" : "service"],
            weight: 1,
        }],
        accounts: accounts?.map(toAccountId),
        isOpen,
        isResumable: false,
        callTokens: route.kind === "service"
            ? route.tokens
            : document.models[route.model as ModelId]?.defaultMaxTokens ?? 0,
    };
}

/** Tokens that one engine computes in a second while all its slots are in use. */
function computeEngineRate(document: ConfigurationDocument, { model, slots }: EngineConfiguration): number {
    const settings = document.models[model as ModelId];
    return settings ? settings.prefillTokensPerSecond + slots * settings.decodeTokensPerSecond : 0;
}

/** The destinations that targets offer, each at the place of its first target. Leaving targets offer none. */
function listServices(document: ConfigurationDocument): readonly ServiceRow[] {
    const services = new Map<DestinationId, ServiceRow>();
    for (const [name, target] of Object.entries<TargetConfiguration>(document.targets)) {
        if (target.leaving) {
            continue;
        }
        const id = toDestination(target);
        const before = services.get(id);
        const added = target.kind === "engine" ? computeEngineRate(document, target) : undefined;
        services.set(id, {
            id,
            place: before?.place ?? ["targets", name],
            other: "",
            isPartStore: false,
            ...(added === undefined ? {} : { tokensPerSecond: (before?.tokensPerSecond ?? 0) + added }),
        });
    }
    return [...services.values()];
}

const listNamedRows = (section: string, entries: object, toName = (id: string): string => id): readonly NamedRow[] =>
    Object.entries(entries).map(([id, entry]) => ({
        id: toName(id),
        place: [section, id] satisfies Place,
        other: JSON.stringify(entry),
    }));

/** Digits of a hash that identify a key; `config history` shows as many. */
const shownHashDigits = 8;

/**
 * Builds the view of a document of the completions mode.
 *
 * @example
 * buildCompletionsView(parseDocument({}).unwrap()).routes; // []
 */
export function buildCompletionsView(document: ConfigurationDocument): ConfigView {
    const routes = Object.entries<Route>(document.routes);
    const usedModels = new Set(routes.flatMap(([, route]) => (route.kind === "model" ? [route.model] : [])));
    return {
        names,
        version: undefined,
        routes: routes.map(([name, route]) => buildRoute(document, name, route)),
        services: listServices(document),
        accounts: Object.entries(document.accounts).map(([name, { priority, rate, burst }]) => ({
            id: toAccountId(name),
            place: ["accounts", name],
            other: "",
            priority,
            urgency: priority,
            rate,
            burst,
            isIsolated: true,
        })),
        keys: Object.entries<KeyEntry>(document.keys).map(([hash, { account, label }]) => ({
            hash: toKeyHash(hash),
            account: toAccountId(account),
            label,
            place: ["keys", hash],
            isUsable: true,
        })),
        needsKeys: true,
        limitsRequestsToBurst: true,
        listsTargets: true,
        models: listNamedRows("models", document.models).map(row => ({ ...row, isUsed: usedModels.has(row.id) })),
        targets: listNamedRows("targets", document.targets),
        operators: listNamedRows("operators", document.operators, hash => hash.slice(0, shownHashDigits)),
        callerLimits: {},
        callerLimitsPlace: [],
        ignored: routes.flatMap(([name, { open, accounts }]) =>
            open && accounts
                ? [{ place: ["routes", name, "accounts"], reason: "the route is open to all callers" }]
                : []
        ),
    };
}

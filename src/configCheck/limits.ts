/** Checks for limits that no value can have, or that contradict each other. */
import type { AccountId } from "../ids";
import type { Occurrence, Place } from "./finding";
import { type ConfigView, type Field, getFieldPlace, type RouteRow } from "./view";

/** Settings of a check that the document does not contain. */
export interface CheckSettings {
    /** Window over which the rate of an account is counted, in seconds. */
    readonly windowSeconds: number;
}

export const defaultCheckSettings: CheckSettings = { windowSeconds: 60 };

interface Range {
    readonly min: number;
    readonly max: number;
    readonly isWhole?: boolean;
}

/** Timers hold milliseconds in 31 bits and take a longer time for 1 ms. */
const maxTimerMs = 2 ** 31 - 1;
const time: Range = { min: 1, max: maxTimerMs };
const amount: Range = { min: 0, max: Number.MAX_SAFE_INTEGER };

/** Values that the reading code accepts beyond these ranges have no meaning. */
const ranges: Readonly<Partial<Record<Field, Range>>> = {
    timeoutMs: time,
    latencyObjectiveMs: time,
    priority: amount,
    maxTargets: { min: 1, max: Number.MAX_SAFE_INTEGER, isWhole: true },
    weight: amount,
    rate: amount,
    burst: amount,
    requestTokens: amount,
    memoryTokens: { min: 1, max: Number.MAX_SAFE_INTEGER },
    maxBodyBytes: { min: 1, max: Number.MAX_SAFE_INTEGER },
    headerTimeoutMs: time,
    idleTimeoutMs: time,
    version: { min: 1, max: Number.MAX_SAFE_INTEGER, isWhole: true },
};

const isInRange = (value: number, { min, max, isWhole = false }: Range): boolean =>
    value >= min && value <= max && (!isWhole || Number.isInteger(value));

type Limits = Readonly<Partial<Record<Field, number | undefined>>>;

/** All numbers of the document, by the row that has them. */
function listLimits({ version, routes, services, accounts, callerLimits, callerLimitsPlace }: ConfigView) {
    const rows: (readonly [Place, Limits])[] = [
        [[], { version }],
        ...routes.map(({ place, timeoutMs, latencyObjectiveMs, priority, maxTargets }) =>
            [place, { timeoutMs, latencyObjectiveMs, priority, maxTargets }] as const
        ),
        ...routes.flatMap(({ destinations }) => destinations.map(({ place, weight }) => [place, { weight }] as const)),
        ...services.map(({ place, memoryTokens }) => [place, { memoryTokens }] as const),
        ...accounts.map(({ place, rate, burst, requestTokens, priority }) =>
            [place, {
                rate: rate === Number.POSITIVE_INFINITY ? undefined : rate,
                burst,
                requestTokens,
                priority,
            }] as const
        ),
        [callerLimitsPlace, callerLimits],
    ];
    return rows;
}

/** Numbers outside the range in which they have a meaning. */
export const listOutOfRange = (view: ConfigView): readonly Occurrence[] =>
    listLimits(view).flatMap(([place, limits]) =>
        (Object.keys(limits) as Field[]).flatMap(field => {
            const value = limits[field];
            const range = ranges[field];
            if (value === undefined || range === undefined || isInRange(value, range)) {
                return [];
            }
            const { min, max, isWhole } = range;
            return [{
                place: getFieldPlace(view, place, field),
                message: `expected a ${isWhole ? "whole " : ""}number from ${min} to ${max}, found ${value}`,
            }];
        })
    );

/** Routes that give up before the time that they aim at. */
export const listShortTimeouts = (view: ConfigView): readonly Occurrence[] =>
    view.routes.flatMap(({ id, place, timeoutMs, latencyObjectiveMs }) =>
        timeoutMs === undefined || latencyObjectiveMs === undefined || timeoutMs >= latencyObjectiveMs ? [] : [{
            place: getFieldPlace(view, place, "timeoutMs"),
            message: `route "${id}" ends requests after ${timeoutMs} ms, before its objective of `
                + `${latencyObjectiveMs} ms`,
        }]
    );

const canRepeat = ({ kind, isResumable }: RouteRow): boolean =>
    kind === "repeatable" || (kind === "stream" && isResumable);

/** Routes that name several targets for requests that may run only once. */
export const listUnusedAttempts = (view: ConfigView): readonly Occurrence[] =>
    view.routes.filter(route => (route.maxTargets ?? 1) > 1 && !canRepeat(route)).map(({ id, place, maxTargets }) => ({
        place: getFieldPlace(view, place, "maxTargets"),
        message: `requests of route "${id}" may run only once, so ${maxTargets} targets are never used for one`,
    }));

/** Routes that may be resumed but never are. */
export const listUnusedResume = (view: ConfigView): readonly Occurrence[] =>
    view.routes.filter(({ isResumable, kind, maxTargets = 1 }) => isResumable && (kind !== "stream" || maxTargets < 2))
        .map(({ id, place, kind }) => ({
            place: getFieldPlace(view, place, "isResumable"),
            message: kind === "stream"
                ? `streams of route "${id}" are never resumed, as one request may run on one target only`
                : `requests of route "${id}" are no streams, which alone can be resumed`,
        }));

/** Accounts whose burst is more than their rate gives in one window. */
export const listLargeBursts = (view: ConfigView, { windowSeconds }: CheckSettings): readonly Occurrence[] =>
    view.accounts.filter(({ rate, burst }) => burst > rate * windowSeconds).map(({ id, place, rate, burst }) => ({
        place: getFieldPlace(view, place, "burst"),
        message: `account "${id}" may use ${burst} tokens at once, but its rate gives only ${
            rate * windowSeconds
        } in ${windowSeconds} s`,
    }));

/** The route that takes the most tokens for one call, for each account that it names; `undefined` is all accounts. */
function findLargestCalls(routes: readonly RouteRow[]): ReadonlyMap<AccountId | undefined, RouteRow> {
    const largest = new Map<AccountId | undefined, RouteRow>();
    for (const route of routes.filter(({ isOpen }) => !isOpen)) {
        for (const account of route.accounts ?? [undefined]) {
            if ((route.callTokens ?? 0) > (largest.get(account)?.callTokens ?? 0)) {
                largest.set(account, route);
            }
        }
    }
    return largest;
}

/**
 * Accounts whose burst is below what a call of a route takes that they may use. For a model this is a call without
 * `max_tokens`.
 */
export function listLargeCalls(view: ConfigView): readonly Occurrence[] {
    const largest = view.limitsRequestsToBurst
        ? findLargestCalls(view.routes)
        : new Map<AccountId | undefined, RouteRow>();
    return view.accounts.flatMap(({ id, place, burst }) => {
        const route = [largest.get(id), largest.get(undefined)].find(found => (found?.callTokens ?? 0) > burst);
        return route === undefined ? [] : [{
            place: getFieldPlace(view, place, "burst"),
            message: `account "${id}" has a burst of ${burst} tokens, but a call of route "${route.id}" takes `
                + `${route.callTokens}`,
        }];
    });
}

/** The sum of all rates where it is more than all engines can compute. */
export function listExcessRates({ accounts, services }: ConfigView): readonly Occurrence[] {
    const capacities = services.flatMap(({ tokensPerSecond }) => tokensPerSecond ?? []);
    const capacity = capacities.reduce((sum, tokens) => sum + tokens, 0);
    const total = accounts.reduce((sum, { rate }) => sum + rate, 0);
    const [largest] = [...accounts].sort((left, right) => right.rate - left.rate);
    return largest === undefined || capacities.length === 0 || total <= capacity ? [] : [{
        place: largest.place,
        message: `the accounts may use ${total} tokens a second, but by the settings of the models the engines compute `
            + `at most ${capacity}; account "${largest.id}" has the largest rate`,
    }];
}

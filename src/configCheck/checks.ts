/** The checks of a configuration document, by the code of their findings. */
import type { Finding, Occurrence, Severity } from "./finding";
import {
    type CheckSettings,
    listExcessRates,
    listLargeBursts,
    listLargeCalls,
    listOutOfRange,
    listShortTimeouts,
    listUnusedAttempts,
    listUnusedResume,
} from "./limits";
import {
    listAccountsWithoutKey,
    listClosedRoutes,
    listEmptySplits,
    listIgnoredValues,
    listMissingKeys,
    listMissingTargets,
    listOpenPrefixes,
    listRepeatedEntries,
    listRepeatedKeys,
    listShadowedRoutes,
    listUnknownServices,
    listUnreachableRoutes,
    listUnusableKeys,
    listUnusedModels,
    listUnusedServices,
    listZeroWeights,
} from "./matching";
import type { ConfigView } from "./view";

interface FindingKind {
    readonly severity: Severity;
    /** What to do about a finding. */
    readonly hint: string;
}

interface Check extends FindingKind {
    readonly list: (view: ConfigView, settings: CheckSettings) => readonly Occurrence[];
}

/** Findings that come from reading the file, not from the view of its content. */
export const readingKinds = {
    "invalid-value": { severity: "error", hint: "correct the value: the processes refuse the whole document" },
    "repeated-name": { severity: "error", hint: "remove one of the fields: only the last one is read" },
    "version-not-newer": {
        severity: "error",
        hint: "raise the version above the one in force: the processes ignore the document otherwise",
    },
} as const satisfies Readonly<Record<string, FindingKind>>;

const checks = {
    "repeated-entry": {
        severity: "error",
        hint: "rename or remove one of the entries",
        list: listRepeatedEntries,
    },
    "missing-target": {
        severity: "error",
        hint: "correct the name, or add a target: requests are refused until there is one",
        list: listMissingTargets,
    },
    "no-destination": { severity: "error", hint: "give one destination a weight", list: listEmptySplits },
    "value-out-of-range": { severity: "error", hint: "choose a value in the range", list: listOutOfRange },
    "repeated-key": { severity: "error", hint: "give each account keys of its own", list: listRepeatedKeys },
    "route-unreachable": {
        severity: "error",
        hint: "write the host without a port, and a prefix that begins and ends with a slash",
        list: listUnreachableRoutes,
    },
    "route-shadowed": {
        severity: "warning",
        hint: "remove one of the two routes, or change its prefix",
        list: listShadowedRoutes,
    },
    "unknown-service": {
        severity: "warning",
        hint: "correct the name, or define the service: only targets that register under this name get requests, and "
            + "none of them as an engine",
        list: listUnknownServices,
    },
    "route-closed": {
        severity: "warning",
        hint: "name an account with a key, or open the route",
        list: listClosedRoutes,
    },
    "key-unusable": { severity: "warning", hint: "replace the key: no caller can send it", list: listUnusableKeys },
    "account-without-key": {
        severity: "notice",
        hint: "grant a key to the account, or remove it",
        list: listAccountsWithoutKey,
    },
    "unused-service": { severity: "notice", hint: "name it in a route, or remove it", list: listUnusedServices },
    "unused-model": { severity: "notice", hint: "name it in a route, or remove it", list: listUnusedModels },
    "zero-weight": {
        severity: "notice",
        hint: "remove the destination if it is to stay without requests",
        list: listZeroWeights,
    },
    "ignored-value": { severity: "warning", hint: "remove or correct the value", list: listIgnoredValues },
    "open-prefix": { severity: "notice", hint: "end the prefix with a slash", list: listOpenPrefixes },
    "keys-not-needed": { severity: "warning", hint: "define an account with a key", list: listMissingKeys },
    "timeout-below-objective": {
        severity: "warning",
        hint: "raise the timeout, or lower the objective",
        list: listShortTimeouts,
    },
    "unused-attempts": {
        severity: "notice",
        hint: "set one target, or make the route repeatable if its requests may run twice",
        list: listUnusedAttempts,
    },
    "unused-resume": {
        severity: "warning",
        hint: "allow two targets for a stream, or do not mark the route as resumable",
        list: listUnusedResume,
    },
    "burst-above-window": {
        severity: "warning",
        hint: "lower the burst or raise the rate; --window sets the length of the window",
        list: listLargeBursts,
    },
    "call-above-burst": {
        severity: "warning",
        hint: "raise the burst: such calls are refused, however long the account waits",
        list: listLargeCalls,
    },
    "rates-above-capacity": {
        severity: "warning",
        hint: "lower rates or add engines: not all accounts can use their rate at once",
        list: listExcessRates,
    },
} as const satisfies Readonly<Record<string, Check>>;

export type ReadingCode = keyof typeof readingKinds;
export type CheckCode = keyof typeof checks;
export type FindingCode = ReadingCode | CheckCode;

export const findingCodes = [...Object.keys(readingKinds), ...Object.keys(checks)] as readonly FindingCode[];

/**
 * Runs all checks on a document.
 *
 * @example
 * runChecks(buildCompletionsView(document), defaultCheckSettings).map(({ code }) => code);
 */
export const runChecks = (view: ConfigView, settings: CheckSettings): readonly Finding<FindingCode>[] =>
    (Object.entries(checks) as [CheckCode, Check][]).flatMap(([code, { severity, hint, list }]) =>
        list(view, settings).map(occurrence => ({ ...occurrence, code, severity, hint }))
    );

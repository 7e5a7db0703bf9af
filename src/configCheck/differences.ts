/** Compares two documents and describes each difference by its effect on callers. */
import type { Difference, Impact, Occurrence, Place } from "./finding";
import { listRouteDifferences } from "./routeDifferences";
import { type AccountRow, type ConfigView, type Field, getFieldPlace, type KeyRow, type NamedRow } from "./view";

/** Index of rows by their id; the last row counts, as for the processes. */
const buildRowIndex = <Row extends { readonly id: string; }>(rows: readonly Row[]): ReadonlyMap<string, Row> =>
    new Map(rows.map(row => [row.id, row]));

const formatRate = (rate: number): string =>
    rate === Number.POSITIVE_INFINITY ? "any number of tokens" : `${rate} tokens`;

type AccountField = Exclude<keyof AccountRow, "id" | "place" | "other" | "priority">;

interface FieldEffect<Value> {
    readonly field?: Field;
    readonly impact: (after: Value, before: Value) => Impact;
    readonly describe: (after: Value, before: Value) => string;
}

const computeImpact = (after: number | undefined = 0, before: number | undefined = 0): Impact =>
    after < before ? "narrows" : "widens";

const accountEffects: { readonly [Name in AccountField]-?: FieldEffect<AccountRow[Name]>; } = {
    rate: {
        field: "rate",
        impact: computeImpact,
        describe: (after, before) => `may use ${formatRate(after)} a second (before: ${formatRate(before)})`,
    },
    burst: {
        field: "burst",
        impact: computeImpact,
        describe: (after, before) => `may use ${after} tokens at once (before: ${before})`,
    },
    urgency: {
        field: "priority",
        impact: computeImpact,
        describe: (after, before) => `has ${after < before ? "later" : "earlier"} turns under load`,
    },
    isIsolated: {
        impact: () => "changes",
        describe: after => `${after ? "no longer shares" : "shares"} cached prompt parts with other accounts`,
    },
    requestTokens: {
        field: "requestTokens",
        impact: (after, before) => computeImpact(before, after),
        describe: (after, before) => `is charged ${after} tokens for a request without counts (before: ${before})`,
    },
};

function listAccountDifferences(after: ConfigView, before: ConfigView): readonly Difference[] {
    const oldAccounts = buildRowIndex(before.accounts);
    const newAccounts = buildRowIndex(after.accounts);
    const listFieldDifferences = (account: AccountRow, old: AccountRow): readonly Difference[] =>
        (Object.keys(accountEffects) as AccountField[]).filter(field => account[field] !== old[field]).map(field => {
            const { field: shown, impact, describe } = accountEffects[field] as FieldEffect<unknown>;
            return {
                code: "account-changed",
                place: shown ? getFieldPlace(after, account.place, shown) : account.place,
                impact: impact(account[field], old[field]),
                message: `account "${account.id}" ${describe(account[field], old[field])}`,
            };
        });
    return [
        ...[...newAccounts.values()].flatMap((account): readonly Difference[] => {
            const old = oldAccounts.get(account.id);
            return old ? listFieldDifferences(account, old) : [{
                code: "account-added",
                place: account.place,
                impact: "widens",
                message: `account "${account.id}" may use ${formatRate(account.rate)} a second`,
            }];
        }),
        ...[...oldAccounts.values()].filter(({ id }) => !newAccounts.has(id)).map(({ id }): Difference => ({
            code: "account-removed",
            place: [],
            impact: "narrows",
            message: `account "${id}" is gone, and its keys with it`,
        })),
    ];
}

const isSharing = ({ isIsolated }: AccountRow): boolean => !isIsolated;

const listIsolatedIds = ({ accounts }: ConfigView): readonly string[] =>
    [...buildRowIndex(accounts).values()].filter(({ isIsolated }) => isIsolated).map(({ id }) => id).sort();

/** Accounts that share cached prompt parts begin without any when other accounts are isolated than before. */
function listSharedPartDifferences(after: ConfigView, before: ConfigView): readonly Difference[] {
    const [newIds, oldIds] = [listIsolatedIds(after), listIsolatedIds(before)];
    const isSame = newIds.length === oldIds.length && newIds.every((id, index) => id === oldIds[index]);
    return isSame || !after.accounts.some(isSharing) || !before.accounts.some(isSharing) ? [] : [{
        code: "shared-parts-restart",
        place: [],
        impact: "changes",
        message: "other accounts are isolated than before: all prompt parts that accounts share are computed once more",
    }];
}

/** Digits of a key's hash that are shown. */
const shownHashDigits = 8;

function listKeyDifferences(after: ConfigView, before: ConfigView): readonly Difference[] {
    const oldKeys = new Map(before.keys.map(key => [key.hash, key]));
    const newKeys = new Map(after.keys.map(key => [key.hash, key]));
    const toLabel = ({ hash }: KeyRow): string => `key ${hash.slice(0, shownHashDigits)}`;
    return [
        ...[...newKeys.values()].flatMap((key): readonly Difference[] => {
            const { account, label, place } = key;
            const old = oldKeys.get(key.hash);
            if (!old) {
                const message = `${toLabel(key)} of account "${account}" is accepted`;
                return [{ code: "key-granted", place, impact: "widens", message }];
            }
            if (old.account !== account) {
                const message = `requests with ${
                    toLabel(key)
                } count for account "${account}" (before: "${old.account}")`;
                return [{ code: "key-moved", place, impact: "changes", message }];
            }
            const message = `${toLabel(key)} has the label "${label}" (before: "${old.label}")`;
            return old.label === label ? [] : [{ code: "key-relabelled", place, impact: "changes", message }];
        }),
        ...[...oldKeys.values()].filter(({ hash }) => !newKeys.has(hash)).map((key): Difference => ({
            code: "key-withdrawn",
            place: [],
            impact: "narrows",
            message: `${toLabel(key)} of account "${key.account}" is no longer accepted`,
        })),
    ];
}

function listAccessDifferences(after: ConfigView, before: ConfigView): readonly Difference[] {
    return after.needsKeys === before.needsKeys ? [] : [{
        code: "keys-needed",
        place: [],
        impact: after.needsKeys ? "narrows" : "widens",
        message: after.needsKeys
            ? "requests without a key are refused, except on open routes"
            : "requests need no key on any route",
    }];
}

const callerLimitTexts: Readonly<Record<keyof ConfigView["callerLimits"], string>> = {
    maxBodyBytes: "bodies are refused above, in bytes:",
    headerTimeoutMs: "callers may take for a head, in ms:",
    idleTimeoutMs: "idle connections stay open for, in ms:",
};

const listLimitDifferences = (after: ConfigView, before: ConfigView): readonly Difference[] =>
    (Object.keys(callerLimitTexts) as (keyof ConfigView["callerLimits"])[])
        .filter(field => after.callerLimits[field] !== before.callerLimits[field])
        .map(field => ({
            code: "caller-limit-changed",
            place: getFieldPlace(after, after.callerLimitsPlace, field),
            impact: computeImpact(after.callerLimits[field], before.callerLimits[field]),
            message: `${callerLimitTexts[field]} ${after.callerLimits[field]} (before: ${before.callerLimits[field]})`,
        }));

interface RowTexts {
    readonly name: string;
    readonly added: string;
    readonly removed: string;
    readonly changed: string;
    /** False when a new row serves no more requests and one that is gone no fewer. */
    readonly bringsCapacity?: boolean;
}

type RowSection = "services" | "models" | "targets" | "operators";

/** Effects of rows whose fields callers see only indirectly. */
const rowTexts: Readonly<Record<RowSection, RowTexts>> = {
    services: {
        name: "service",
        added: "is defined: its targets get requests by its engine settings, if there are some",
        removed: "is not defined any more: its targets get requests as plain ones",
        changed: "has other engine settings",
        bringsCapacity: false,
    },
    models: {
        name: "model",
        added: "can be named by routes",
        removed: "can no longer be named by routes",
        changed: "has other settings: token counts and estimates of its requests change",
    },
    targets: {
        name: "target",
        added: "gets requests",
        removed: "gets no new requests",
        changed: "has another address, version, place or number of slots, or begins or ends to leave",
    },
    operators: {
        name: "operator",
        added: "may change the configuration",
        removed: "may no longer change the configuration",
        changed: "has another label",
    },
};

/** Services that the document defines; where it lists targets, services follow from these. */
const listDefinedServices = (
    { listsTargets, services }: ConfigView,
): ConfigView["services"] => (listsTargets ? [] : services);

function listRowDifferences(section: RowSection, after: ConfigView, before: ConfigView): readonly Difference[] {
    const toRows = (view: ConfigView): readonly NamedRow[] =>
        section === "services"
            ? listDefinedServices(view).map(row => ({ ...row, other: JSON.stringify([row.other, row.memoryTokens]) }))
            : view[section];
    const oldRows = buildRowIndex(toRows(before));
    const newRows = buildRowIndex(toRows(after));
    const { name, added, removed, changed, bringsCapacity = true } = rowTexts[section];
    const build = (kind: string, place: Place, impact: Impact, message: string): Difference => ({
        code: `${name}-${kind}`,
        place,
        impact,
        message,
    });
    return [
        ...[...newRows.values()].flatMap(({ id, place, other }) => {
            const old = oldRows.get(id);
            if (!old) {
                return [build("added", place, bringsCapacity ? "widens" : "changes", `${name} "${id}" ${added}`)];
            }
            return old.other === other ? [] : [build("changed", place, "changes", `${name} "${id}" ${changed}`)];
        }),
        ...[...oldRows.keys()].filter(id => !newRows.has(id)).map(id =>
            build("removed", [], bringsCapacity ? "narrows" : "changes", `${name} "${id}" ${removed}`)
        ),
    ];
}

/** Comparisons in the order in which they are reported. */
const comparisons: readonly ((after: ConfigView, before: ConfigView) => readonly Difference[])[] = [
    listAccessDifferences,
    listRouteDifferences,
    listAccountDifferences,
    listSharedPartDifferences,
    listKeyDifferences,
    ...(Object.keys(rowTexts) as RowSection[]).map(section => (after: ConfigView, before: ConfigView) =>
        listRowDifferences(section, after, before)
    ),
    listLimitDifferences,
];

/**
 * Lists what changes for callers when `after` replaces `before`.
 *
 * @example
 * listDifferences(view, view); // []
 */
export const listDifferences = (after: ConfigView, before: ConfigView): readonly Difference[] =>
    comparisons.flatMap(compare => compare(after, before));

/** The version of a document that processes would ignore, because the one in force is not older. */
export function listVersionFaults({ version, names }: ConfigView, before: ConfigView): readonly Occurrence[] {
    return version === undefined || before.version === undefined || version > before.version ? [] : [{
        place: names.version === undefined ? [] : [names.version],
        message: `version ${version} is not above version ${before.version} of the document that it is compared with`,
    }];
}

/** Changes the configuration for operators: reads the head, builds the new document, commits it in one transaction. */
import { Err, Ok, type Result } from "ts-results";
import { computeChange } from "../config/change";
import type { ConfigurationDocument, Fault } from "../config/document";
import { addKey, checkReplacement, findKeys, removeKey } from "../config/edit";
import { headKey, listChangedEntries, parseChangeRecord, parseHead, snapshotKey, toChangeKey } from "../config/records";
import { logInfo, logWarning } from "../effects";
import type { EventOf } from "../events";
import { addMillis, type CallId, type Millis, toConfigVersion } from "../ids";
import type { ChangeCommand, OperatorAnswer } from "../operators";
import { listAnswerRows, type StoreOperation, type StoreOutcome, type StoreRow } from "../store";
import type { ChangeRow, HeadReference, PreparedChange } from "../tables/changes";
import type { Tick, World } from "../world";
import { sendAnswer } from "./answerOperators";
import { applyChangeRecord, loadChanges } from "./applyConfiguration";
import { endChange, startConfirmation } from "./confirmChanges";
import { findOperator } from "./operatorAccess";

/** A snapshot is written at version 1 and then every this many versions. */
const versionsPerSnapshot = 64;
/** Change records kept in the store; more than `versionsPerSnapshot`, so that they always continue a snapshot. */
const maxKeptChanges = 256;
/** A document of the planned size has 2.3 MB. The store accepts 1 MB, so the store client compresses the document. */
const maxDocumentBytes = 4_000_000;
/** Time limit for reading the head and committing, including retries after lost answers. */
const commitTimeoutMs = 5000;
const commitRetryMs = 200;
/** Maximum reads of the head for one change. A key grant or withdrawal that lost a race is rebuilt on the new head. */
const maxHeadReads = 8;
const maxOpenChanges = 64;

const toFaults = (path: string, message: string): readonly Fault[] => [{ path, message }];

type Editor<Kind extends ChangeCommand["kind"]> = {
    /** True when the change can be rebuilt on a newer version after it lost a race. */
    readonly canRebase: boolean;
    /** Validates the command before the store is called. */
    readonly check: (command: Extract<ChangeCommand, { readonly kind: Kind; }>) => readonly Fault[];
    readonly edit: (
        document: ConfigurationDocument,
        command: Extract<ChangeCommand, { readonly kind: Kind; }>,
    ) => Result<ConfigurationDocument, OperatorAnswer>;
};

const toInvalidAnswer = (result: Result<ConfigurationDocument, readonly Fault[]>) =>
    result.mapErr((faults): OperatorAnswer => ({ kind: "invalid", faults }));

const editors: { readonly [Kind in ChangeCommand["kind"]]: Editor<Kind>; } = {
    putConfiguration: {
        canRebase: false,
        check: ({ document }) => {
            const checked = checkReplacement(document);
            return checked.err ? checked.val : [];
        },
        edit: (_document, command) => toInvalidAnswer(checkReplacement(command.document)),
    },
    grantKey: {
        canRebase: true,
        check: () => [],
        edit: (document, command) => toInvalidAnswer(addKey(document, command)),
    },
    withdrawKey: {
        canRebase: true,
        check: () => [],
        edit: (document, { name }) => {
            const [hash, ...others] = findKeys(document, name);
            if (hash === undefined) {
                return Err({ kind: "not_found", message: "No key has this label or hash." });
            }
            if (others.length > 0) {
                const message = `expected the name of one key, found ${others.length + 1}; use digits of the hash`;
                return Err({ kind: "invalid", faults: toFaults("name", message) });
            }
            return Ok(removeKey(document, hash));
        },
    },
};

const getEditor = (command: ChangeCommand): Editor<ChangeCommand["kind"]> =>
    editors[command.kind] as Editor<ChangeCommand["kind"]>;

const isChange = (command: { readonly kind: string; }): command is ChangeCommand =>
    Object.hasOwn(editors, command.kind);

const refuseUnavailable = (world: World, row: ChangeRow, message: string): void => {
    endChange(world, row, { kind: "unavailable", effect: row.isUncertain ? "unknown" : "none", message });
};

function readHead(world: World, row: ChangeRow): void {
    if (row.headReads >= maxHeadReads) {
        refuseUnavailable(world, row, "The configuration changes too often; try again.");
        return;
    }
    row.headReads += 1;
    row.state = "reading";
    world.effects.append({
        kind: "callStore",
        purpose: { for: "configurationWrite", call: row.call, step: "read" },
        call: { kind: "range", range: { key: headKey } },
    });
}

function startChange(
    world: World,
    tick: Tick,
    event: EventOf<"operatorCommandReceived">,
    command: ChangeCommand,
): void {
    const { changes } = world.tables;
    const access = findOperator(world, event);
    if (access.kind === "none" || (access.kind === "bootstrap" && command.kind !== "putConfiguration")) {
        logWarning(world.effects, "config:", "Operator command refused; its key is missing or invalid.", {
            command: command.kind,
        });
        sendAnswer(world, event.call, { kind: "unauthorized" });
        return;
    }
    const faults = getEditor(command).check(command);
    if (faults.length > 0) {
        sendAnswer(world, event.call, { kind: "invalid", faults });
        return;
    }
    if (changes.size >= maxOpenChanges) {
        const message = "Too many changes are being made through this VM.";
        sendAnswer(world, event.call, { kind: "unavailable", effect: "none", message });
        return;
    }
    const row: ChangeRow = {
        call: event.call,
        changeId: `${world.incarnation}/${event.call}`,
        command,
        hasFleetSecret: event.hasFleetSecret,
        state: "reading",
        headReads: 0,
        headVersion: toConfigVersion(0),
        prepared: undefined,
        isUncertain: false,
        confirmed: new Set([world.settings.vm]),
    };
    changes.add(row);
    world.timers.schedule({ name: "changeDeadline", at: addMillis(tick.now, commitTimeoutMs), key: row.call });
    readHead(world, row);
}

function listWrites(row: ChangeRow, prepared: PreparedChange): StoreOperation[] {
    const { version, document, change, at, operator } = prepared;
    const { changeId } = row;
    const note = row.command.kind === "putConfiguration" ? row.command.note : "";
    const writes: StoreOperation[] = [
        { kind: "put", key: headKey, value: JSON.stringify({ version, changeId }) },
        {
            kind: "put",
            key: toChangeKey(version),
            value: JSON.stringify({ version, changeId, change, at, operator, note }),
        },
    ];
    if (version % versionsPerSnapshot === 0 || version === 1) {
        writes.push({ kind: "put", key: snapshotKey, value: JSON.stringify({ version, document }) });
    }
    if (version > maxKeptChanges) {
        writes.push({ kind: "delete", key: toChangeKey(version - maxKeptChanges) });
    }
    return writes;
}

/**
 * Sends the transaction. Its comparison succeeds at most once, so repeating it after a lost answer cannot write
 * twice. When the comparison fails, the same call reads back the change record of the version, to see whose it is.
 */
function sendTransaction(world: World, row: ChangeRow, prepared: PreparedChange): void {
    row.state = "committing";
    world.effects.append({
        kind: "callStore",
        purpose: { for: "configurationWrite", call: row.call, step: "commit" },
        call: {
            kind: "transaction",
            compare: [{ key: headKey, modRevision: prepared.base.modRevision }],
            success: listWrites(row, prepared),
            failure: [
                { kind: "range", range: { key: headKey } },
                { kind: "range", range: { key: toChangeKey(prepared.version) } },
            ],
        },
    });
}

/** Builds the new document from the active one, which has the version of the head. */
function buildChange(world: World, tick: Tick, row: ChangeRow, base: HeadReference): void {
    const { document } = world.tables.configuration;
    const { command, hasFleetSecret } = row;
    const access = findOperator(world, { command, hasFleetSecret });
    if (access.kind === "none") {
        endChange(world, row, { kind: "unauthorized" });
        return;
    }
    if (command.kind === "putConfiguration" && command.expected !== undefined && command.expected !== base.version) {
        endChange(world, row, { kind: "conflict", version: base.version });
        return;
    }
    const edited = getEditor(command).edit(document, command);
    if (edited.err) {
        endChange(world, row, edited.val);
        return;
    }
    if (Buffer.byteLength(JSON.stringify(edited.val)) > maxDocumentBytes) {
        const faults = toFaults("(document)", `expected at most ${maxDocumentBytes} bytes of JSON`);
        endChange(world, row, { kind: "invalid", faults });
        return;
    }
    row.prepared = {
        version: toConfigVersion(base.version + 1),
        base,
        document: edited.val,
        change: computeChange(document, edited.val),
        at: new Date(tick.wallNow).toISOString(),
        operator: access.name,
    };
    sendTransaction(world, row, row.prepared);
}

function toHeadReference(row: StoreRow | undefined): HeadReference | undefined {
    if (!row) {
        return { version: toConfigVersion(0), modRevision: 0 };
    }
    const head = parseHead(row.value);
    return head && { version: head.version, modRevision: row.modRevision };
}

function handleHeadRead(world: World, tick: Tick, row: ChangeRow, { result }: StoreOutcome): void {
    if (result.err) {
        refuseUnavailable(world, row, `The store cannot be reached: ${result.val.message}`);
        return;
    }
    const head = toHeadReference(listAnswerRows(result.val)[0]);
    if (!head) {
        refuseUnavailable(world, row, "The head of the configuration in the store is invalid.");
        return;
    }
    row.headVersion = head.version;
    const { version } = world.tables.configuration;
    if (head.version > version) {
        row.state = "catching_up";
        loadChanges(world);
    }
    else if (head.version < version) {
        // A newer version arrived from a peer while the head was being read.
        readHead(world, row);
    }
    else {
        buildChange(world, tick, row, head);
    }
}

function handleCommitted(
    world: World,
    tick: Tick,
    row: ChangeRow,
    prepared: PreparedChange,
    confirmedAt: Millis | undefined,
): void {
    const { configuration } = world.tables;
    const { version, change, operator } = prepared;
    applyChangeRecord(world, version, change, "operator");
    if (configuration.version === version && confirmedAt !== undefined) {
        configuration.confirmedAt = confirmedAt;
    }
    logInfo(world.effects, "config:", "Configuration changed.", {
        version,
        operator,
        changed: listChangedEntries(change),
    });
    startConfirmation(world, tick, row, prepared);
}

function handleCommit(world: World, tick: Tick, row: ChangeRow, { result, sentAt }: StoreOutcome): void {
    const { prepared } = row;
    if (!prepared || row.state !== "committing") {
        return;
    }
    if (result.err) {
        row.isUncertain ||= result.val.effect === "unknown";
        if (row.isUncertain) {
            const at = addMillis(tick.now, commitRetryMs * (0.5 + world.random()));
            world.timers.schedule({ name: "changeRetry", at, key: row.call });
        }
        else {
            refuseUnavailable(world, row, `The change was not written: ${result.val.message}`);
        }
        return;
    }
    if (result.val.kind !== "transaction") {
        return;
    }
    if (result.val.succeeded) {
        handleCommitted(world, tick, row, prepared, sentAt);
        return;
    }
    const [headRows = [], recordRows = []] = result.val.reads;
    const record = recordRows[0] && parseChangeRecord(recordRows[0].value);
    if (record?.changeId === row.changeId) {
        handleCommitted(world, tick, row, prepared, undefined);
        return;
    }
    // The comparison can never succeed again, so the change was definitely not written.
    row.isUncertain = false;
    const version = toHeadReference(headRows[0])?.version ?? prepared.base.version;
    if (getEditor(row.command).canRebase) {
        readHead(world, row);
    }
    else {
        endChange(world, row, { kind: "conflict", version });
    }
}

const stepHandlers: {
    readonly [Step in "read" | "commit"]: (world: World, tick: Tick, row: ChangeRow, outcome: StoreOutcome) => void;
} = { read: handleHeadRead, commit: handleCommit };

function handleTimers(world: World, tick: Tick): void {
    const { changes } = world.tables;
    for (const call of tick.due.listKeys("changeRetry")) {
        const row = changes.get(call as CallId);
        if (row?.prepared && row.state === "committing") {
            sendTransaction(world, row, row.prepared);
        }
    }
    for (const call of tick.due.listKeys("changeDeadline")) {
        const row = changes.get(call as CallId);
        if (row && row.state !== "confirming") {
            row.isUncertain ||= row.state === "committing";
            refuseUnavailable(world, row, "The store gave no answer in time.");
        }
    }
}

/**
 * Reads: members. Writes: changes, configuration, targets (rows of the configuration).
 * Effects: store calls, pushes to peers, answers to operators, log lines. `confirmChanges` follows in the same tick.
 */
export function writeConfiguration(world: World, tick: Tick): void {
    const { changes, configuration } = world.tables;
    for (const event of tick.events.list("operatorCommandReceived")) {
        if (isChange(event.command)) {
            startChange(world, tick, event, event.command);
        }
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("configurationWrite")) {
        const row = changes.get(purpose.call);
        if (row) {
            stepHandlers[purpose.step](world, tick, row, outcome);
        }
    }
    for (const row of changes.list("catching_up")) {
        if (configuration.version >= row.headVersion) {
            readHead(world, row);
        }
    }
    handleTimers(world, tick);
}

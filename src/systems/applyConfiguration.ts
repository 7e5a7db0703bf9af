/** Loads the configuration from the store, applies its changes and determines how fresh it is. */
import type { Result } from "ts-results";
import { applyChange } from "../config/change";
import { type ConfigurationDocument, type Fault, parseDocument } from "../config/document";
import {
    changePrefix,
    headKey,
    isChange,
    parseChangeRecord,
    parseHead,
    parseSnapshot,
    snapshotKey,
    toChangeKey,
} from "../config/records";
import { logInfo, logWarning } from "../effects";
import { addMillis, type ConfigVersion, type Millis, toConfigVersion } from "../ids";
import { computeFreshness } from "../policy/freshness";
import { listAnswerRows, type StoreOutcome, type StoreRow } from "../store";
import type { Tick, World } from "../world";

const reloadRetryMs = 500;

function loadConfiguration(world: World): void {
    world.effects.append({
        kind: "callStore",
        purpose: { for: "configurationHead", step: "load" },
        call: {
            kind: "transaction",
            compare: [],
            success: [{ kind: "range", range: { key: headKey } }, { kind: "range", range: { key: snapshotKey } }],
        },
    });
}

/** Requests the changes that follow the active version from the store. */
export function loadChanges(world: World): void {
    const above = world.tables.configuration.version;
    const range = { key: toChangeKey(above + 1), end: `${changePrefix}~` };
    world.effects.append({
        kind: "callStore",
        purpose: { for: "configurationChanges", above },
        call: { kind: "range", range },
    });
}

function applyParsedDocument(
    world: World,
    version: ConfigVersion,
    parsed: Result<ConfigurationDocument, readonly Fault[]>,
    source: string,
): boolean {
    if (parsed.err) {
        logWarning(world.effects, "config:", "Configuration is invalid and was not applied.", {
            version,
            source,
            faults: parsed.val.map(fault => `${fault.path}: ${fault.message}`),
        });
        return false;
    }
    if (!world.tables.configuration.apply(version, parsed.val)) {
        return false;
    }
    world.tables.targets.applyConfiguration(parsed.val.targets);
    world.effects.append({ kind: "updateGauge", name: "configuration_version", value: version });
    logInfo(world.effects, "config:", "Configuration is active.", { version, source });
    return true;
}

/** Applies a configuration document if its version is higher than the active one. */
export function applyDocument(world: World, version: ConfigVersion, input: unknown, source: string): boolean {
    return version > world.tables.configuration.version
        && applyParsedDocument(world, version, parseDocument(input), source);
}

/** Applies a change if it directly follows the active version. */
export function applyChangeRecord(world: World, version: ConfigVersion, change: unknown, source: string): boolean {
    const { configuration } = world.tables;
    return version === configuration.version + 1
        && isChange(change)
        && applyParsedDocument(world, version, applyChange(configuration.document, change), source);
}

/** Compares the head with the active version. `confirmedAt` is absent when the head may be outdated. */
function handleHead(world: World, row: StoreRow | undefined, confirmedAt?: Millis): void {
    const { configuration } = world.tables;
    const head = row && parseHead(row.value);
    if (row && !head) {
        logWarning(world.effects, "config:", "Configuration head in the store ignored; its value is invalid.", {
            key: row.key,
        });
        return;
    }
    const version = head?.version ?? toConfigVersion(0);
    if (version > configuration.version) {
        loadChanges(world);
    }
    else if (version === configuration.version && confirmedAt !== undefined) {
        configuration.confirmedAt = confirmedAt;
    }
}

function scheduleLoad(world: World, tick: Tick): void {
    const at = addMillis(tick.now, reloadRetryMs * (0.5 + world.random()));
    world.timers.schedule({ name: "configurationRetry", at });
}

function handleLoad(world: World, tick: Tick, outcome: StoreOutcome): void {
    if (outcome.result.err) {
        scheduleLoad(world, tick);
        return;
    }
    const answer = outcome.result.val;
    if (answer.kind !== "transaction") {
        return;
    }
    const [headRows = [], snapshotRows = []] = answer.reads;
    const snapshot = snapshotRows[0] && parseSnapshot(snapshotRows[0].value);
    if (snapshot) {
        applyDocument(world, snapshot.version, snapshot.document, "store");
    }
    handleHead(world, headRows[0], outcome.sentAt);
    world.effects.append({
        kind: "openWatch",
        watch: "configuration",
        key: headKey,
        prefix: false,
        fromRevision: answer.revision + 1,
    });
}

function handleChanges(world: World, tick: Tick, outcome: StoreOutcome): void {
    if (outcome.result.err) {
        // Changes are read only when a newer version is known to exist.
        scheduleLoad(world, tick);
        return;
    }
    const { configuration } = world.tables;
    const records = listAnswerRows(outcome.result.val).map(row => parseChangeRecord(row.value));
    for (const record of records) {
        if (record) {
            applyChangeRecord(world, record.version, record.change, "store");
        }
    }
    const lastRecord = records.at(-1);
    if (lastRecord?.version === configuration.version) {
        configuration.confirmedAt = outcome.sentAt;
    }
    else if (records.some(record => record === undefined || record.version > configuration.version)) {
        // Older changes were deleted, or one cannot be applied; a snapshot may cover them. The delay prevents reading
        // the store in a tight loop when it has no such snapshot.
        scheduleLoad(world, tick);
    }
}

function handleConfirm(world: World, outcome: StoreOutcome): void {
    if (outcome.result.ok) {
        handleHead(world, listAnswerRows(outcome.result.val)[0], outcome.sentAt);
    }
}

/** Returns the time of the latest confirmation of the head that is known, by this process or a peer. */
export function getConfirmedAt(world: World): Millis | undefined {
    const { confirmedAt, peerConfirmedAt } = world.tables.configuration;
    if (confirmedAt === undefined || peerConfirmedAt === undefined) {
        return confirmedAt ?? peerConfirmedAt;
    }
    return confirmedAt > peerConfirmedAt ? confirmedAt : peerConfirmedAt;
}

/** Recomputes the freshness of the configuration from the current tables. */
export function updateFreshness(world: World, tick: Tick): void {
    const { configuration, members } = world.tables;
    const { freshForMs } = world.settings.membership;
    const confirmedAt = getConfirmedAt(world);
    const isRecent = (at: Millis | undefined): boolean => at !== undefined && tick.now - at <= freshForMs;
    // Leaving members count too: only the store knows whether replacements have joined.
    const allMembers = members.list();
    const isSelf = (vm: string): boolean => vm === world.settings.vm;
    const reachableMembers = allMembers.filter(member => isSelf(member.vm) || isRecent(member.lastSeenAt));
    const notNewerMembers = allMembers.filter(member =>
        isSelf(member.vm) ? configuration.hasBeenConfirmed : isRecent(member.notNewerSeenAt)
    );
    const freshness = computeFreshness({
        version: configuration.version,
        confirmedAgeMs: confirmedAt === undefined ? Number.POSITIVE_INFINITY : tick.now - confirmedAt,
        memberCount: Math.max(1, allMembers.length),
        notNewerMemberCount: notNewerMembers.length,
        peersWithStoreAccess: reachableMembers.filter(member =>
            !isSelf(member.vm) && isRecent(member.storeConfirmedAt)
        ).length,
        isBehind: reachableMembers.some(member => member.configVersion > configuration.version),
        freshForMs,
    });
    configuration.hasBeenConfirmed ||= freshness === "fresh";
    if (freshness !== configuration.freshness) {
        logInfo(world.effects, "config:", "Freshness of the configuration changed.", {
            from: configuration.freshness,
            to: freshness,
        });
        configuration.freshness = freshness;
    }
}

/** Reads the head when no recent confirmation by any process is known. Jitter spreads the reads over the fleet. */
function confirmHead(world: World, tick: Tick): void {
    const confirmedAt = getConfirmedAt(world);
    const age = confirmedAt === undefined ? Number.POSITIVE_INFINITY : tick.now - confirmedAt;
    if (tick.due.has("freshness") && age > world.settings.membership.freshForMs * (0.3 + 0.2 * world.random())) {
        world.effects.append({
            kind: "callStore",
            purpose: { for: "configurationHead", step: "confirm" },
            call: { kind: "range", range: { key: headKey } },
        });
    }
}

/**
 * Reads: members. Writes: configuration, targets (rows of the configuration), node (last answer of the store).
 * Effects: store reads, the configuration watch, log lines.
 */
export function applyConfiguration(world: World, tick: Tick): void {
    if (tick.number === 1) {
        loadConfiguration(world);
        world.timers.subscribe({ name: "freshness", everyMs: world.settings.membership.freshForMs / 10 }, tick.now);
    }
    if (tick.due.has("configurationRetry")) {
        loadConfiguration(world);
    }
    for (const { purpose, outcome } of tick.events.listStoreReplies("configurationHead")) {
        if (purpose.step === "load") {
            handleLoad(world, tick, outcome);
        }
        else {
            handleConfirm(world, outcome);
        }
    }
    for (const { outcome } of tick.events.listStoreReplies("configurationChanges")) {
        handleChanges(world, tick, outcome);
    }
    for (const event of tick.events.list("watchDelivered")) {
        if (event.watch === "configuration") {
            const row = event.changes.at(-1);
            // A watch delivery can be late: it can show a newer version but cannot confirm that there is none.
            if (row?.value !== undefined) {
                handleHead(world, { ...row, value: row.value, createRevision: 0 });
            }
        }
    }
    if (tick.events.list("watchEnded").some(event => event.watch === "configuration")) {
        scheduleLoad(world, tick);
    }
    if (tick.events.list("storeReplied").some(event => event.outcome.result.ok)) {
        world.tables.node.storeAnsweredAt = tick.now;
    }
    confirmHead(world, tick);
    // Recomputed only when its inputs may have changed; replies of peers are handled later in the tick.
    if (tick.due.has("freshness") || tick.events.list("storeReplied").length > 0) {
        updateFreshness(world, tick);
    }
}

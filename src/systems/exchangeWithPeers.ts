/** Exchanges digests with peers: liveness, configuration version, age of the last confirmation. */
import { logInfo } from "../effects";
import { type Millis, toMillis } from "../ids";
import type { Exchange, MemberDigest } from "../peers";
import type { MemberRow } from "../tables/members";
import type { Tick, World } from "../world";
import { applyChangeRecord, applyDocument, getConfirmedAt } from "./applyConfiguration";
import { applyPrefixUpdates, listPrefixUpdates } from "./prefixUpdates";

/** A fleet up to this size exchanges with every peer each time; a larger one with random peers. */
const fullExchangeMembers = 8;
const randomPeers = 2;
/** Members whose digests travel in one exchange. */
const digestsPerExchange = 16;

const computeAge = (now: Millis, at: Millis | undefined): number =>
    at === undefined ? Number.MAX_SAFE_INTEGER : Math.max(0, now - at);

function createDigest(world: World, tick: Tick, row: MemberRow): MemberDigest {
    return {
        vm: row.vm,
        incarnation: row.incarnation,
        dataCentre: row.dataCentre,
        callerAddress: row.callerAddress,
        peerAddress: row.peerAddress,
        state: row.state,
        configVersion: row.configVersion,
        storeConfirmedAgeMs: computeAge(tick.now, row.storeConfirmedAt),
        headConfirmedAgeMs: row.vm === world.settings.vm
            ? computeAge(tick.now, getConfirmedAt(world))
            : Number.MAX_SAFE_INTEGER,
    };
}

/** Chooses `count` rows at random without repetition. */
function chooseRandom<Row>(world: World, rows: readonly Row[], count: number): Row[] {
    const rest = [...rows];
    const chosen: Row[] = [];
    while (chosen.length < count && rest.length > 0) {
        chosen.push(...rest.splice(Math.floor(world.random() * rest.length), 1));
    }
    return chosen;
}

function createExchange(world: World, tick: Tick, prefixes: Exchange["prefixes"]): Exchange {
    const { members } = world.tables;
    const own = members.get(world.settings.vm) as MemberRow;
    const others = members.list().filter(row => row !== own && row.heardAt !== undefined);
    return {
        digest: createDigest(world, tick, own),
        heard: chooseRandom(world, others, digestsPerExchange).map(row => ({
            digest: createDigest(world, tick, row),
            ageMs: computeAge(tick.now, row.heardAt),
        })),
        prefixes,
    };
}

function applyDigest(world: World, heardAt: Millis, digest: MemberDigest): void {
    const { members, configuration } = world.tables;
    if (digest.vm === world.settings.vm) {
        return;
    }
    const known = members.get(digest.vm);
    if (known?.heardAt !== undefined && known.heardAt >= heardAt) {
        return;
    }
    const storeConfirmedAt = toMillis(heardAt - digest.storeConfirmedAgeMs);
    if (known) {
        known.incarnation = digest.incarnation;
        known.state = digest.state;
        known.configVersion = digest.configVersion;
        known.callerAddress = digest.callerAddress;
        known.peerAddress = digest.peerAddress;
        known.heardAt = heardAt;
        known.storeConfirmedAt = storeConfirmedAt;
    }
    else {
        members.add({
            vm: digest.vm,
            incarnation: digest.incarnation,
            dataCentre: digest.dataCentre,
            callerAddress: digest.callerAddress,
            peerAddress: digest.peerAddress,
            state: digest.state,
            configVersion: digest.configVersion,
            heardAt,
            storeConfirmedAt,
            isRegistered: false,
            isLeaving: false,
        });
        logInfo(world.effects, "member:", "Member heard for the first time.", { vm: digest.vm });
    }
    const confirmedAt = toMillis(heardAt - digest.headConfirmedAgeMs);
    const isNewer = configuration.peerConfirmedAt === undefined || confirmedAt > configuration.peerConfirmedAt;
    // A confirmation is of use only to a process that has the version that was confirmed.
    if (isNewer && digest.configVersion === configuration.version) {
        configuration.peerConfirmedAt = confirmedAt;
    }
}

function applyExchange(world: World, exchange: Exchange, receivedAt: Millis): void {
    applyDigest(world, receivedAt, exchange.digest);
    for (const { digest, ageMs } of exchange.heard) {
        applyDigest(world, toMillis(receivedAt - ageMs), digest);
    }
    applyPrefixUpdates(world, receivedAt, exchange.prefixes);
    if (exchange.digest.configVersion > world.tables.configuration.version) {
        world.effects.append({
            kind: "askPeer",
            purpose: { for: "pull" },
            address: exchange.digest.peerAddress,
            request: { kind: "pullConfiguration", body: { above: world.tables.configuration.version } },
        });
    }
}

function sendExchanges(world: World, tick: Tick): void {
    const { members } = world.tables;
    const known = members.list().filter(row => row.vm !== world.settings.vm).map(row => row.peerAddress);
    const addresses = [...new Set([...known, ...world.settings.peers])]
        .filter(address => address !== world.settings.listen.peers);
    const chosen = addresses.length <= fullExchangeMembers ? addresses : chooseRandom(world, addresses, randomPeers);
    const body = createExchange(world, tick, chosen.length > 0 ? listPrefixUpdates(world) : []);
    for (const address of chosen) {
        world.effects.append({
            kind: "askPeer",
            purpose: { for: "exchange" },
            address,
            request: { kind: "exchange", body },
        });
    }
}

function answerPeers(world: World, tick: Tick): void {
    const { configuration } = world.tables;
    for (const { call, request } of tick.events.list("peerAsked")) {
        if (request.kind === "exchange") {
            applyExchange(world, request.body, tick.now);
            world.effects.append({
                kind: "answerPeer",
                call,
                answer: { kind: "exchange", body: createExchange(world, tick, []) },
            });
        }
        if (request.kind === "pullConfiguration") {
            const isNewer = configuration.version > request.body.above;
            const { version, document } = configuration;
            world.effects.append({
                kind: "answerPeer",
                call,
                answer: {
                    kind: "pullConfiguration",
                    body: isNewer ? { update: { kind: "snapshot", version, document } } : {},
                },
            });
        }
    }
}

function handleReplies(world: World, tick: Tick): void {
    for (const reply of tick.events.listPeerReplies("exchange")) {
        if (reply.result.ok && reply.result.val.kind === "exchange") {
            applyExchange(world, reply.result.val.body, tick.now);
        }
    }
    for (const reply of tick.events.listPeerReplies("pull")) {
        const answer = reply.result.ok ? reply.result.val : undefined;
        const update = answer?.kind === "pullConfiguration" ? answer.body.update : undefined;
        if (update?.kind === "snapshot") {
            applyDocument(world, update.version, update.document, "peer");
        }
        if (update?.kind === "change") {
            applyChangeRecord(world, update.version, update.change, "peer");
        }
    }
}

/**
 * Reads: configuration. Writes: members, configuration (peer confirmations, newer versions).
 * Effects: calls and answers to peers, log lines.
 */
export function exchangeWithPeers(world: World, tick: Tick): void {
    const { exchangeEveryMs } = world.settings.membership;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "exchange", everyMs: exchangeEveryMs, firstAfterMs: 0 }, tick.now);
    }
    answerPeers(world, tick);
    handleReplies(world, tick);
    if (tick.due.has("exchange")) {
        sendExchanges(world, tick);
    }
}

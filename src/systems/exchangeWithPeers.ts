/** Exchanges digests with peers: liveness, configuration version, age of the last confirmation. */
import { logInfo } from "../effects";
import { addMillis, type Millis, toMillis } from "../ids";
import type { Exchange, FleetReach, MemberDigest } from "../peers";
import { formatAges, parseAges } from "../policy/reach";
import type { MemberRoster, MemberRow } from "../tables/members";
import type { Tick, World } from "../world";
import { getConfirmedAt, updateFreshness } from "./applyConfiguration";
import { applyPrefixUpdates, listPrefixUpdates } from "./prefixUpdates";

/** A fleet up to this size exchanges with every peer each time; a larger one with random peers. */
const fullExchangeMembers = 8;
const randomPeers = 2;
/** Members whose digests travel in one exchange. */
const digestsPerExchange = 16;
/** Exchanges in the usual period during a possible outage. */
const outageExchanges = 4;

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
        vouches: row.vouches,
        // The receiver counts from the time at which the member was heard.
        storeConfirmedAgeMs: computeAge(row.heardAt ?? tick.now, row.storeConfirmedAt),
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

const hashRoster = (world: World, roster: MemberRoster): string => world.hasher.hashText(roster.text, 0n).toString(16);

/** True when a store outage may have begun in a fleet in which not every member asks every other. */
function isReachWanted(world: World, tick: Tick): boolean {
    const age = computeAge(tick.now, getConfirmedAt(world));
    return world.tables.members.size > fullExchangeMembers && age > world.settings.membership.freshForMs / 2;
}

function createReach(world: World, tick: Tick): FleetReach {
    const roster = world.tables.members.getRoster();
    const ages = roster.rows.map(row => (row.versionSeenAt === undefined ? undefined : tick.now - row.versionSeenAt));
    return { roster: hashRoster(world, roster), ages: formatAges(ages) };
}

function createAnswer(world: World, tick: Tick): Exchange {
    const exchange = createExchange(world, tick, []);
    return isReachWanted(world, tick) ? { ...exchange, reach: createReach(world, tick) } : exchange;
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

function addMember(world: World, digest: MemberDigest): MemberRow {
    const row: MemberRow = {
        vm: digest.vm,
        incarnation: digest.incarnation,
        dataCentre: digest.dataCentre,
        callerAddress: digest.callerAddress,
        peerAddress: digest.peerAddress,
        state: digest.state,
        configVersion: digest.configVersion,
        vouches: digest.vouches,
        heardAt: undefined,
        versionSeenAt: undefined,
        storeConfirmedAt: undefined,
        isRegistered: false,
        isListed: false,
        isLeaving: false,
    };
    world.tables.members.add(row);
    logInfo(world.effects, "member:", "Member heard for the first time.", { vm: digest.vm });
    return row;
}

/** Keeps the freshest confirmation of the version in force. */
function recordConfirmation(world: World, heardAt: Millis, digest: MemberDigest): void {
    const { configuration } = world.tables;
    const confirmedAt = toMillis(heardAt - Math.min(digest.headConfirmedAgeMs, digest.storeConfirmedAgeMs));
    const isNewer = configuration.peerConfirmedAt === undefined || confirmedAt > configuration.peerConfirmedAt;
    // A confirmation is of use only to a process that has the version that was confirmed.
    if (isNewer && digest.configVersion === configuration.version) {
        configuration.peerConfirmedAt = confirmedAt;
    }
}

function recordVersionSeen(row: MemberRow, seenAt: Millis): void {
    if (row.versionSeenAt === undefined || row.versionSeenAt < seenAt) {
        row.versionSeenAt = seenAt;
    }
}

function applyDigest(world: World, heardAt: Millis, digest: MemberDigest): void {
    const { members } = world.tables;
    if (digest.vm === world.settings.vm) {
        return;
    }
    const row = members.get(digest.vm) ?? addMember(world, digest);
    if (row.heardAt !== undefined && row.heardAt >= heardAt) {
        return;
    }
    row.incarnation = digest.incarnation;
    row.state = digest.state;
    row.configVersion = digest.configVersion;
    row.vouches = digest.vouches;
    row.callerAddress = digest.callerAddress;
    row.peerAddress = digest.peerAddress;
    row.heardAt = heardAt;
    row.storeConfirmedAt = toMillis(heardAt - digest.storeConfirmedAgeMs);
    if (digest.vouches && digest.configVersion <= world.tables.configuration.version) {
        recordVersionSeen(row, heardAt);
    }
    recordConfirmation(world, heardAt, digest);
}

function requestNewer(world: World, digest: MemberDigest): void {
    if (digest.configVersion > world.tables.configuration.version) {
        world.effects.append({
            kind: "askPeer",
            purpose: { for: "pull" },
            address: digest.peerAddress,
            request: { kind: "pullConfiguration", body: { above: world.tables.configuration.version } },
        });
    }
}

/** Takes over what a peer knows of all members, if both know the same members. */
function applyReach(world: World, askedAt: Millis, reach: FleetReach): void {
    const roster = world.tables.members.getRoster();
    if (hashRoster(world, roster) !== reach.roster) {
        return;
    }
    for (const [index, age] of parseAges(reach.ages).entries()) {
        const row = roster.rows[index];
        if (row && age !== undefined) {
            recordVersionSeen(row, toMillis(askedAt - age));
        }
    }
}

/** Applies a reply. Its ages count from the time of asking, the only bound on when they were measured. */
function applyReply(world: World, exchange: Exchange, askedAt: Millis): void {
    applyDigest(world, askedAt, exchange.digest);
    for (const { digest, ageMs } of exchange.heard) {
        applyDigest(world, toMillis(askedAt - ageMs), digest);
    }
    if (exchange.reach && exchange.digest.configVersion <= world.tables.configuration.version) {
        applyReach(world, askedAt, exchange.reach);
    }
    requestNewer(world, exchange.digest);
}

/**
 * Learns members and versions from an exchange that a peer began. It says nothing about the present: it may
 * have waited in a socket buffer while this process was paused.
 */
function applyRequest(world: World, tick: Tick, exchange: Exchange): void {
    for (const digest of [exchange.digest, ...exchange.heard.map(entry => entry.digest)]) {
        const known = world.tables.members.get(digest.vm);
        if (!known) {
            addMember(world, digest);
        }
        else if (known.incarnation === digest.incarnation && digest.state === "draining") {
            // A process that drains never goes back, so that this holds whenever it was said.
            known.state = "draining";
        }
    }
    applyPrefixUpdates(world, tick.now, exchange.prefixes);
    requestNewer(world, exchange.digest);
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
            purpose: { for: "exchange", askedAt: tick.now },
            address,
            request: { kind: "exchange", body },
        });
    }
}

function answerPeers(world: World, tick: Tick): void {
    for (const { call, request } of tick.events.list("peerAsked")) {
        if (request.kind === "exchange") {
            applyRequest(world, tick, request.body);
            world.effects.append({
                kind: "answerPeer",
                call,
                answer: { kind: "exchange", body: createAnswer(world, tick) },
            });
        }
    }
}

function handleReplies(world: World, tick: Tick): void {
    for (const { purpose, result } of tick.events.listPeerReplies("exchange")) {
        if (result.ok && result.val.kind === "exchange") {
            applyReply(world, result.val.body, purpose.askedAt);
        }
    }
    if (tick.events.listPeerReplies("exchange").length > 0) {
        updateFreshness(world, tick);
    }
}

/** Exchanges more often in a possible outage, so that evidence passes through a large fleet while it is fresh. */
function scheduleOutageExchanges(world: World, tick: Tick): void {
    const everyMs = world.settings.membership.exchangeEveryMs / outageExchanges;
    for (let index = 1; index < outageExchanges; index += 1) {
        world.timers.schedule({ name: "outageExchange", at: addMillis(tick.now, everyMs * index) });
    }
}

/**
 * Reads: configuration. Writes: members, configuration (peer confirmations).
 * Effects: calls and answers to peers, log lines.
 */
export function exchangeWithPeers(world: World, tick: Tick): void {
    const { exchangeEveryMs } = world.settings.membership;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "exchange", everyMs: exchangeEveryMs, firstAfterMs: 0 }, tick.now);
    }
    answerPeers(world, tick);
    handleReplies(world, tick);
    const isOutageLikely = isReachWanted(world, tick);
    if (tick.due.has("exchange") || (tick.due.has("outageExchange") && isOutageLikely)) {
        sendExchanges(world, tick);
    }
    if (tick.due.has("exchange") && isOutageLikely) {
        scheduleOutageExchanges(world, tick);
    }
}

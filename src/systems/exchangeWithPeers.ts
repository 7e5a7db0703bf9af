/** Gossip between members: exchanges digests with liveness, configuration version and age of its confirmation. */
import { logInfo } from "../effects";
import { addMillis, type Millis, toMillis } from "../ids";
import type { Exchange, FleetVersionAges, MemberDigest } from "../peers";
import { formatAges, parseAges } from "../policy/memberAges";
import type { MemberRoster, MemberRow } from "../tables/members";
import type { Tick, World } from "../world";
import { getConfirmedAt, updateFreshness } from "./applyConfiguration";
import { applyPrefixUpdates, listPrefixUpdates } from "./prefixUpdates";

/** Up to this size each round reaches every peer; in a larger fleet it reaches `gossipFanout` random peers. */
const maxFullMeshMembers = 8;
const gossipFanout = 2;
/** Maximum number of other members' digests in one exchange. */
const maxDigestsPerExchange = 16;
/** Exchanges per regular interval during a suspected outage of the store. */
const outageExchangesPerInterval = 4;

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
        vouches: row.hasConfirmedVersion,
        // Relative to the time at which the digest was received; the receiver adds the age of the digest.
        storeConfirmedAgeMs: computeAge(row.lastSeenAt ?? tick.now, row.storeConfirmedAt),
        headConfirmedAgeMs: row.vm === world.settings.vm
            ? computeAge(tick.now, getConfirmedAt(world))
            : Number.MAX_SAFE_INTEGER,
    };
}

/** Chooses up to `count` rows at random without repetition. */
function chooseRandom<Row>(world: World, rows: readonly Row[], count: number): Row[] {
    const remainingRows = [...rows];
    const chosen: Row[] = [];
    while (chosen.length < count && remainingRows.length > 0) {
        chosen.push(...remainingRows.splice(Math.floor(world.random() * remainingRows.length), 1));
    }
    return chosen;
}

const hashRoster = (world: World, roster: MemberRoster): string => world.hasher.hashText(roster.text, 0n).toString(16);

/** True when a store outage may have begun in a fleet that is too large for every member to contact every other. */
function isOutageSuspected(world: World, tick: Tick): boolean {
    const age = computeAge(tick.now, getConfirmedAt(world));
    return world.tables.members.size > maxFullMeshMembers && age > world.settings.membership.freshForMs / 2;
}

function createFleetAges(world: World, tick: Tick): FleetVersionAges {
    const roster = world.tables.members.getRoster();
    const ages = roster.rows.map(row => (row.notNewerSeenAt === undefined ? undefined : tick.now - row.notNewerSeenAt));
    return { roster: hashRoster(world, roster), ages: formatAges(ages) };
}

function createAnswer(world: World, tick: Tick): Exchange {
    const exchange = createExchange(world, tick, []);
    return isOutageSuspected(world, tick) ? { ...exchange, reach: createFleetAges(world, tick) } : exchange;
}

function createExchange(world: World, tick: Tick, prefixes: Exchange["prefixes"]): Exchange {
    const { members } = world.tables;
    const ownRow = members.get(world.settings.vm) as MemberRow;
    const otherMembers = members.list().filter(row => row !== ownRow && row.lastSeenAt !== undefined);
    return {
        digest: createDigest(world, tick, ownRow),
        heard: chooseRandom(world, otherMembers, maxDigestsPerExchange).map(row => ({
            digest: createDigest(world, tick, row),
            ageMs: computeAge(tick.now, row.lastSeenAt),
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
        hasConfirmedVersion: digest.vouches,
        lastSeenAt: undefined,
        notNewerSeenAt: undefined,
        storeConfirmedAt: undefined,
        isRegistered: false,
        isListed: false,
        isLeaving: false,
    };
    world.tables.members.add(row);
    logInfo(world.effects, "member:", "Member discovered through a peer.", { vm: digest.vm });
    return row;
}

/** Records the latest confirmation of the active version that a peer has reported. */
function recordConfirmation(world: World, receivedAt: Millis, digest: MemberDigest): void {
    const { configuration } = world.tables;
    const confirmedAt = toMillis(receivedAt - Math.min(digest.headConfirmedAgeMs, digest.storeConfirmedAgeMs));
    const isNewer = configuration.peerConfirmedAt === undefined || confirmedAt > configuration.peerConfirmedAt;
    // A confirmation applies only to the version that was confirmed.
    if (isNewer && digest.configVersion === configuration.version) {
        configuration.peerConfirmedAt = confirmedAt;
    }
}

function recordVersionSeen(row: MemberRow, seenAt: Millis): void {
    if (row.notNewerSeenAt === undefined || row.notNewerSeenAt < seenAt) {
        row.notNewerSeenAt = seenAt;
    }
}

function applyDigest(world: World, receivedAt: Millis, digest: MemberDigest): void {
    const { members } = world.tables;
    if (digest.vm === world.settings.vm) {
        return;
    }
    const row = members.get(digest.vm) ?? addMember(world, digest);
    if (row.lastSeenAt !== undefined && row.lastSeenAt >= receivedAt) {
        return;
    }
    row.incarnation = digest.incarnation;
    row.state = digest.state;
    row.configVersion = digest.configVersion;
    row.hasConfirmedVersion = digest.vouches;
    row.callerAddress = digest.callerAddress;
    row.peerAddress = digest.peerAddress;
    row.lastSeenAt = receivedAt;
    row.storeConfirmedAt = toMillis(receivedAt - digest.storeConfirmedAgeMs);
    if (digest.vouches && digest.configVersion <= world.tables.configuration.version) {
        recordVersionSeen(row, receivedAt);
    }
    recordConfirmation(world, receivedAt, digest);
}

function requestNewerConfiguration(world: World, digest: MemberDigest): void {
    if (digest.configVersion > world.tables.configuration.version) {
        world.effects.append({
            kind: "callPeer",
            purpose: { for: "pull" },
            address: digest.peerAddress,
            request: { kind: "pullConfiguration", body: { above: world.tables.configuration.version } },
        });
    }
}

/** Applies the ages that a peer reports for all members, if both processes know the same members. */
function applyFleetAges(world: World, sentAt: Millis, reach: FleetVersionAges): void {
    const roster = world.tables.members.getRoster();
    if (hashRoster(world, roster) !== reach.roster) {
        return;
    }
    for (const [index, age] of parseAges(reach.ages).entries()) {
        const row = roster.rows[index];
        if (row && age !== undefined) {
            recordVersionSeen(row, toMillis(sentAt - age));
        }
    }
}

/** Applies a reply. Its ages count from the sending of the request, the only known bound on when they were measured. */
function applyReply(world: World, exchange: Exchange, sentAt: Millis): void {
    applyDigest(world, sentAt, exchange.digest);
    for (const { digest, ageMs } of exchange.heard) {
        applyDigest(world, toMillis(sentAt - ageMs), digest);
    }
    if (exchange.reach && exchange.digest.configVersion <= world.tables.configuration.version) {
        applyFleetAges(world, sentAt, exchange.reach);
    }
    requestNewerConfiguration(world, exchange.digest);
}

/**
 * Takes new members, drains, prefixes and newer versions from an exchange that a peer started. It is no evidence that
 * the peer is alive now: it may have waited in a socket buffer while this process was paused.
 */
function applyRequest(world: World, tick: Tick, exchange: Exchange): void {
    for (const digest of [exchange.digest, ...exchange.heard.map(report => report.digest)]) {
        const member = world.tables.members.get(digest.vm);
        if (!member) {
            addMember(world, digest);
        }
        else if (member.incarnation === digest.incarnation && digest.state === "draining") {
            // Draining is final for an incarnation, so this holds no matter how old the message is.
            member.state = "draining";
        }
    }
    applyPrefixUpdates(world, tick.now, exchange.prefixes);
    requestNewerConfiguration(world, exchange.digest);
}

function sendExchanges(world: World, tick: Tick): void {
    const { members } = world.tables;
    const memberAddresses = members.list().filter(row => row.vm !== world.settings.vm).map(row => row.peerAddress);
    const addresses = [...new Set([...memberAddresses, ...world.settings.peers])]
        .filter(address => address !== world.settings.listen.peers);
    const chosen = addresses.length <= maxFullMeshMembers ? addresses : chooseRandom(world, addresses, gossipFanout);
    const body = createExchange(world, tick, chosen.length > 0 ? listPrefixUpdates(world) : []);
    for (const address of chosen) {
        world.effects.append({
            kind: "callPeer",
            purpose: { for: "exchange", sentAt: tick.now },
            address,
            request: { kind: "exchange", body },
        });
    }
}

function answerPeers(world: World, tick: Tick): void {
    for (const { call, request } of tick.events.list("peerCallReceived")) {
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
            applyReply(world, result.val.body, purpose.sentAt);
        }
    }
    if (tick.events.listPeerReplies("exchange").length > 0) {
        updateFreshness(world, tick);
    }
}

/** Schedules extra exchanges in a suspected outage, so that reports cross a large fleet before they become stale. */
function scheduleOutageExchanges(world: World, tick: Tick): void {
    const everyMs = world.settings.membership.exchangeEveryMs / outageExchangesPerInterval;
    for (let index = 1; index < outageExchangesPerInterval; index += 1) {
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
    const isSuspected = isOutageSuspected(world, tick);
    if (tick.due.has("exchange") || (tick.due.has("outageExchange") && isSuspected)) {
        sendExchanges(world, tick);
    }
    if (tick.due.has("exchange") && isSuspected) {
        scheduleOutageExchanges(world, tick);
    }
}

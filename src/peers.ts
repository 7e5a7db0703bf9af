/** Messages between the processes of the fleet, independent of their encoding. */
import type { ConfigurationChange } from "./config/change";
import type { ConfigurationDocument } from "./config/document";
import type { AccountId, ConfigVersion, DataCentreId, FencingToken, GrantId, Incarnation, TargetId, VmId } from "./ids";

/** State of one process, sent in each exchange and passed on by other members. */
export interface MemberDigest {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly dataCentre: DataCentreId;
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly state: "live" | "draining";
    readonly configVersion: ConfigVersion;
    /**
     * True once the configuration was confirmed since the process started. Before that, the version is no evidence
     * that nothing newer was accepted: a restarted process may have lost a newer version that it had acknowledged.
     */
    readonly vouches: boolean;
    /** Milliseconds since the store last confirmed the configuration head to this process. */
    readonly storeConfirmedAgeMs: number;
    /** Age in milliseconds of the latest confirmation known to this process, its own or a peer's. */
    readonly headConfirmedAgeMs: number;
}

/** An engine that holds a prompt prefix. */
export interface PrefixUpdate {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    /** Prefix id in hexadecimal. */
    readonly prefix: string;
}

export interface Exchange {
    readonly digest: MemberDigest;
    /** Latest digests received from other members, with their ages in milliseconds. */
    readonly heard: readonly { readonly digest: MemberDigest; readonly ageMs: number; }[];
    readonly prefixes: readonly PrefixUpdate[];
    /** Sent only in answers within a large fleet, while the last known confirmation by the store is old. */
    readonly reach?: FleetVersionAges;
}

/** For every member, the time since it was last known to have at most the sender's configuration version. */
export interface FleetVersionAges {
    /** Hash of the sorted member ids. The receiver ignores the ages unless it knows the same members. */
    readonly roster: string;
    /** One age for each member in the order of the ids, encoded by `policy/memberAges.ts`. */
    readonly ages: string;
}

export interface GrantRequest {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly account: AccountId;
    readonly tokens: number;
    /** Tokens that requests are waiting for. The rest of `tokens` is a prefetch for expected use. */
    readonly needed: number;
    /** Smallest grant that is of use to the requester. */
    readonly atLeast: number;
    readonly reports: readonly GrantReport[];
}

/**
 * How the holder has used one grant. All counts are totals since the grant was issued, so that a report can be
 * lost, repeated or delayed without counting tokens twice.
 */
export interface GrantReport {
    readonly grant: GrantId;
    /** Incremented with each change at the holder; the owner ignores reports that are not newer than the last one. */
    readonly sequence: number;
    readonly spent: number;
    /** Tokens returned unused by the holder. */
    readonly returned: number;
    /** Tokens reserved by requests that are still running. */
    readonly reserved: number;
    /** Time until the latest deadline of the requests that reserved tokens; 0 once it has passed. */
    readonly reservedForMs: number;
}

export type GrantAnswer =
    | {
        readonly kind: "granted";
        readonly grant: GrantId;
        readonly tokens: number;
        readonly fencing: FencingToken;
        readonly ttlMs: number;
    }
    | { readonly kind: "empty"; readonly retryAfterMs: number; }
    | { readonly kind: "not_owner"; readonly owner?: OwnerAddress; };

/** Owner of a bucket. The address distinguishes processes with the same VM name. */
export interface OwnerAddress {
    readonly vm: VmId;
    readonly address: string;
}

/** Reports on grants without a request for tokens. */
export interface GrantReturn {
    readonly vm: VmId;
    readonly account: AccountId;
    readonly reports: readonly GrantReport[];
}

/** One configuration version, as a full snapshot or as the change from the previous version. */
export type ConfigurationUpdate =
    | { readonly kind: "snapshot"; readonly version: ConfigVersion; readonly document: ConfigurationDocument; }
    | { readonly kind: "change"; readonly version: ConfigVersion; readonly change: ConfigurationChange; };

/** Requests between peers and their answers, by kind. */
export interface PeerProtocol {
    readonly exchange: { readonly request: Exchange; readonly answer: Exchange; };
    readonly requestGrant: { readonly request: GrantRequest; readonly answer: GrantAnswer; };
    readonly returnGrant: { readonly request: GrantReturn; readonly answer: { readonly accepted: boolean; }; };
    readonly pullConfiguration: {
        readonly request: { readonly above: ConfigVersion; };
        readonly answer: { readonly update?: ConfigurationUpdate; };
    };
    readonly pushConfiguration: {
        readonly request: ConfigurationUpdate;
        readonly answer: { readonly version: ConfigVersion; };
    };
}

export type PeerMessageKind = keyof PeerProtocol;

/** Request from a peer, tagged with its kind. */
export type PeerRequest = {
    readonly [Kind in PeerMessageKind]: { readonly kind: Kind; readonly body: PeerProtocol[Kind]["request"]; };
}[PeerMessageKind];

/** Answer to a peer, tagged with the kind of its request. */
export type PeerAnswer = {
    readonly [Kind in PeerMessageKind]: { readonly kind: Kind; readonly body: PeerProtocol[Kind]["answer"]; };
}[PeerMessageKind];

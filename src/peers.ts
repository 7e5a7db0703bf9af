/** Messages between the processes of the fleet, independent of their encoding. */
import type { ConfigurationChange } from "./config/change";
import type { ConfigurationDocument } from "./config/document";
import type {
    AccountId,
    ConfigVersion,
    DataCentreId,
    FencingNumber,
    GrantId,
    Incarnation,
    TargetId,
    VmId,
} from "./ids";

/** What a process says of itself in each exchange. */
export interface MemberDigest {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly dataCentre: DataCentreId;
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly state: "live" | "draining";
    readonly configVersion: ConfigVersion;
    /** True once the version was confirmed in this run: a process that restarted may have forgotten a newer one. */
    readonly vouches: boolean;
    /** Age in milliseconds of the last confirmation of the configuration head by the store, this process's own. */
    readonly storeConfirmedAgeMs: number;
    /** Age in milliseconds of the freshest confirmation this process knows of, its own or a peer's. */
    readonly headConfirmedAgeMs: number;
}

/** Says that an engine holds a prompt prefix. Prefix ids travel in hexadecimal. */
export interface PrefixUpdate {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly prefix: string;
}

export interface Exchange {
    readonly digest: MemberDigest;
    /** Digest ages of other members as this process heard them, in milliseconds. */
    readonly heard: readonly { readonly digest: MemberDigest; readonly ageMs: number; }[];
    readonly prefixes: readonly PrefixUpdate[];
    /** Evidence about the whole fleet, sent while the store is not known to confirm the configuration. */
    readonly reach?: FleetReach;
}

/** For every member, how long ago it is known to have had at most the sender's version. */
export interface FleetReach {
    /** Hash of the sorted ids of the members; the ages are in their order. */
    readonly roster: string;
    /** Ages as `policy/reach.ts` formats them. */
    readonly ages: string;
}

export interface GrantRequest {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly account: AccountId;
    readonly tokens: number;
    /** Part of `tokens` that requests are waiting for; the rest is taken in advance. */
    readonly needed: number;
    /** Least number of tokens that is of use to the asking process. */
    readonly atLeast: number;
    readonly reports: readonly GrantReport[];
}

/**
 * What became of the tokens of one grant. All counts are totals since the grant was given, so that a report may
 * be lost, repeated or late without counting anything twice.
 */
export interface GrantReport {
    readonly grant: GrantId;
    /** Counts up with each change at the holder; an owner ignores a report older than one it has seen. */
    readonly sequence: number;
    readonly spent: number;
    /** Tokens that the holder gave back and will not use. */
    readonly returned: number;
    /** Tokens reserved by requests that still run. */
    readonly reserved: number;
    /** Time until the last of these requests reaches its deadline. */
    readonly reservedForMs: number;
}

export type GrantAnswer =
    | {
        readonly kind: "granted";
        readonly grant: GrantId;
        readonly tokens: number;
        readonly fencing: FencingNumber;
        readonly ttlMs: number;
    }
    | { readonly kind: "empty"; readonly retryAfterMs: number; }
    | { readonly kind: "not_owner"; readonly owner?: OwnerAddress; };

/** A VM that owns a bucket. The address tells processes with the same VM name apart. */
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

/** Configuration of one version, whole or as the change from the version before. */
export type ConfigurationUpdate =
    | { readonly kind: "snapshot"; readonly version: ConfigVersion; readonly document: ConfigurationDocument; }
    | { readonly kind: "change"; readonly version: ConfigVersion; readonly change: ConfigurationChange; };

/** Every message a peer may send, with its answer. */
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

/** A request of a peer, tagged with its kind. */
export type PeerRequest = {
    readonly [Kind in PeerMessageKind]: { readonly kind: Kind; readonly body: PeerProtocol[Kind]["request"]; };
}[PeerMessageKind];

/** An answer to a peer, tagged with the kind of its request. */
export type PeerAnswer = {
    readonly [Kind in PeerMessageKind]: { readonly kind: Kind; readonly body: PeerProtocol[Kind]["answer"]; };
}[PeerMessageKind];

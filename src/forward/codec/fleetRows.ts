/** Keys and values that the processes of the fleet write to the store. */
import { z } from "zod";
import type { ModelId, TargetId, VmId } from "../../ids";
import type { PartId, WeightsVersion } from "../ids";
import type { StoredServiceRollout } from "../policy/serviceRolloutRules";
import type { RecordedSurge } from "../policy/usageSurge";
import type { ForwardMemberRow } from "../tables/members";

/** Prefix of all keys that the fleet writes. */
export const fleetPrefix = "marjoramvane/";
export const memberPrefix = `${fleetPrefix}members/`;
/** Key of the rollout leader, the process that orders engines to load new weights. */
export const rolloutLeaderKey = `${fleetPrefix}duties/weights`;
export const orderPrefix = `${fleetPrefix}orders/`;
/** Prefix of the prompt parts in quarantine; the rest of the key is the part's id. */
export const quarantinePrefix = `${fleetPrefix}quarantine/`;

/** Prefix of the rollouts of service versions; the rest of the key is the service's id. */
export const serviceRolloutPrefix = `${fleetPrefix}service-rollouts/`;

/** Prefix of the surges in the usage of accounts; the rest of the key is the account's id. */
export const surgePrefix = `${fleetPrefix}surges/`;

const memberSchema = z.object({
    vm: z.string(),
    address: z.string(),
    peerAddress: z.string(),
    dataCentre: z.string(),
    state: z.enum(["live", "leaving"]),
});

const orderSchema = z.object({ vm: z.string(), target: z.string(), model: z.string(), version: z.number() });

const quarantineSchema = z.object({ part: z.string(), endsAt: z.number(), offences: z.number().int().min(1).max(64) });

/** Quarantine of a prompt part. */
export interface StoredQuarantine {
    readonly part: PartId;
    /** End of the quarantine in milliseconds since the Unix epoch. */
    readonly endsAt: number;
    /** Number of quarantines of the part, this one included. */
    readonly offences: number;
}

/** Record of an order to an engine, written before the order is sent. */
export interface OrderRow {
    readonly vm: VmId;
    readonly target: TargetId;
    readonly model: ModelId;
    readonly version: WeightsVersion;
}

function parseJsonAs<Row>(schema: z.ZodType, text: string): Row | undefined {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data as Row : undefined;
    }
    catch {
        return undefined;
    }
}

export const encodeMember = (member: ForwardMemberRow): string => JSON.stringify(member);

/** Decodes a member; undefined when the text is invalid. */
export const decodeMember = (text: string): ForwardMemberRow | undefined => parseJsonAs(memberSchema, text);

export const encodeOrder = (order: OrderRow): string => JSON.stringify(order);

/** Decodes the record of an order; undefined when the text is invalid. */
export const decodeOrder = (text: string): OrderRow | undefined => parseJsonAs(orderSchema, text);

export const encodeQuarantine = (row: StoredQuarantine): string => JSON.stringify(row);

/** Decodes a quarantine; undefined when the text is invalid. */
export const decodeQuarantine = (text: string): StoredQuarantine | undefined => parseJsonAs(quarantineSchema, text);

const serviceRolloutSchema = z.object({
    orderRevision: z.number(),
    to: z.string(),
    periodMs: z.number(),
    state: z.enum(["observing", "shifting", "completed", "rolledBack"]),
    observedAt: z.number(),
    base: z.array(z.string()).max(1024).optional(),
});

export const encodeServiceRollout = (rollout: StoredServiceRollout): string => JSON.stringify(rollout);

/** Decodes a rollout of a service version; undefined when the text is invalid. */
export const decodeServiceRollout = (text: string): StoredServiceRollout | undefined =>
    parseJsonAs(serviceRolloutSchema, text);

const surgeSchema = z.object({ tokens: z.number().min(0), used: z.number().min(0), recordedAt: z.number() });

/** Surge in the usage of an account. */
export interface StoredSurge extends RecordedSurge {
    /** Milliseconds since the Unix epoch. */
    readonly recordedAt: number;
}

export const encodeSurge = (surge: StoredSurge): string => JSON.stringify(surge);

/** Decodes a surge; undefined when the text is invalid. */
export const decodeSurge = (text: string): StoredSurge | undefined => parseJsonAs(surgeSchema, text);

type RowDecoder = (text: string) => unknown;

const rowDecoders: readonly (readonly [prefix: string, decode: RowDecoder])[] = [
    [memberPrefix, decodeMember],
    [orderPrefix, decodeOrder],
    [quarantinePrefix, decodeQuarantine],
    [serviceRolloutPrefix, decodeServiceRollout],
    [surgePrefix, decodeSurge],
];

/** True when the value of a row can be decoded. Keys of which this version knows nothing have any value. */
export const isDecodableRow = (key: string, text: string): boolean =>
    rowDecoders.every(([prefix, decode]) => !key.startsWith(prefix) || decode(text) !== undefined);

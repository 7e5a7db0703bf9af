/** Settings that bound what clients can make a process hold; the same in both modes. */
import { z } from "zod";

const count = z.number().int().positive();

/** Section `[clients]`. What is absent is computed from `memoryMb` and `maxDescriptors`; see `computeClientLimits`. */
export const clientSettings = z.strictObject({
    /** Memory of the VM; the default is that of the smallest one. */
    memoryMb: z.number().positive().default(186),
    /** Descriptors of the VM, files included; the default are those of the smallest one. */
    maxDescriptors: count.default(2212),
    /** Maximum connections of callers. */
    connections: count.optional(),
    /** Maximum connections of callers from one address. */
    connectionsPerAddress: count.optional(),
    /** Maximum pipelined requests of one connection that wait for an earlier one. */
    waitingPerConnection: count.optional(),
    /** Maximum pipelined requests that wait, on all connections. */
    waitingRequests: count.optional(),
    /** Maximum bytes of answers that callers have not taken, on all connections. */
    unreadBytes: count.optional(),
    /** Maximum bytes of heads that are not complete and of requests behind those that wait, on all connections. */
    unparsedBytes: count.optional(),
    /** Maximum bytes of request bodies, on all connections. */
    bodyBytes: count.optional(),
    /** Maximum bytes of request bodies that targets have answered and not read yet. */
    answeredUploadBytes: count.optional(),
    /** Time without progress after which a connection is closed while its client has to read or to write. */
    stallMs: count.optional(),
    /** Time in which a request has to arrive whole. */
    requestMs: count.optional(),
}).prefault({});

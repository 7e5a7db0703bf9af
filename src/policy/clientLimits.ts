/** Bounds on what clients can make a process hold, computed from the memory and the descriptors of its VM. */

/** Listeners of both modes. */
export type ListenerKind = "callers" | "directory" | "readiness" | "metrics" | "operators" | "peers";

export interface ConnectionLimits {
    readonly total: number;
    readonly perAddress: number;
}

export interface ClientLimits {
    readonly connections: { readonly [Kind in ListenerKind]: ConnectionLimits; };
    /** Requests that may wait on one connection behind the one that is handled. */
    readonly waitingPerConnection: number;
    /** Requests that may wait behind others, on all connections. */
    readonly waitingRequests: number;
    /** Bytes of answers that callers have not taken, on all connections. */
    readonly unreadBytes: number;
    /** Bytes of requests that are not complete, or that come behind requests that wait, on all connections. */
    readonly unparsedBytes: number;
    /** Bytes of request bodies, on all connections. */
    readonly bodyBytes: number;
    /** Bytes of request bodies that targets have answered and not read yet, on all connections to targets. */
    readonly answeredUploadBytes: number;
    /** Time without progress after which a connection is closed while its client has to read or to write. */
    readonly stallMs: number;
    /** Time in which a request has to arrive whole. */
    readonly requestMs: number;
}

export interface ClientLimitOptions {
    /** Memory of the VM. */
    readonly memoryMb?: number | undefined;
    /** Descriptors of the VM. */
    readonly maxDescriptors?: number | undefined;
    /** Connections of callers; the default is a share of the descriptors. */
    readonly connections?: number | undefined;
    readonly connectionsPerAddress?: number | undefined;
    readonly waitingPerConnection?: number | undefined;
    readonly waitingRequests?: number | undefined;
    readonly unreadBytes?: number | undefined;
    readonly unparsedBytes?: number | undefined;
    readonly bodyBytes?: number | undefined;
    readonly answeredUploadBytes?: number | undefined;
    readonly stallMs?: number | undefined;
    readonly requestMs?: number | undefined;
}

/** The smallest VM on which the process is deployed. */
const smallestMemoryMb = 186;
const smallestDescriptors = 2212;

/**
 * Shares of the descriptors. Together they leave a quarter for files, targets, peers and the store. Those of the listeners
 * that only machines of the operators use are small, so that callers cannot use them to take descriptors.
 */
const descriptorShares: { readonly [Kind in ListenerKind]: number; } = {
    callers: 0.35,
    directory: 0.15,
    peers: 0.12,
    readiness: 0.03,
    metrics: 0.03,
    operators: 0.03,
};

/** Share of a listener's connections that one address may have; the rest is kept for others. */
const addressShare = 0.75;
const minConnections = 16;
const megabyte = 1024 * 1024;

const computeConnectionLimits = (total: number, perAddress?: number): ConnectionLimits => ({
    total: Math.max(minConnections, Math.floor(total)),
    perAddress: Math.max(minConnections, Math.floor(perAddress ?? total * addressShare)),
});

/**
 * Computes the bounds of a process. `docs/CAPACITY.md` adds up what they allow on the smallest VM.
 *
 * @example
 * computeClientLimits({ memoryMb: 186, maxDescriptors: 2212 }).connections.callers.total; // 774
 */
export function computeClientLimits(options: ClientLimitOptions = {}): ClientLimits {
    const { memoryMb = smallestMemoryMb, maxDescriptors = smallestDescriptors } = options;
    const memoryBytes = memoryMb * megabyte;
    const computeShare = (kind: ListenerKind): ConnectionLimits =>
        computeConnectionLimits(maxDescriptors * descriptorShares[kind]);
    return {
        connections: {
            callers: computeConnectionLimits(
                options.connections ?? maxDescriptors * descriptorShares.callers,
                options.connectionsPerAddress,
            ),
            directory: computeShare("directory"),
            peers: computeShare("peers"),
            readiness: computeShare("readiness"),
            metrics: computeShare("metrics"),
            operators: computeShare("operators"),
        },
        waitingPerConnection: options.waitingPerConnection ?? 32,
        waitingRequests: options.waitingRequests ?? Math.floor(memoryMb * 4),
        unreadBytes: options.unreadBytes ?? Math.floor(memoryBytes / 12),
        unparsedBytes: options.unparsedBytes ?? Math.floor(memoryBytes / 48),
        bodyBytes: options.bodyBytes ?? Math.floor(memoryBytes / 16),
        answeredUploadBytes: options.answeredUploadBytes ?? Math.floor(memoryBytes / 16),
        stallMs: options.stallMs ?? 20_000,
        requestMs: options.requestMs ?? 120_000,
    };
}

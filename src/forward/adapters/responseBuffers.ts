/** Buffers for plain responses, with a bound for each and for all together. */

export interface ResponseBuffer {
    /** Adds bytes. Discards the buffer and returns false when it exceeds its bound. */
    add(chunk: Buffer): boolean;
    /** Returns the bytes and releases the buffer. */
    take(): Buffer;
    release(): void;
}

export interface ResponseBuffersOptions {
    /** Maximum size of one response. */
    readonly maxBytes: number;
    /** Maximum size of all responses together; beyond it, the largest one is discarded. */
    readonly maxTotalBytes: number;
}

export interface ResponseBuffers {
    /** `onDiscarded` is called when the buffer is discarded to make room for others. */
    open(onDiscarded: () => void): ResponseBuffer;
}

interface BufferRow {
    bytes: Buffer;
    length: number;
    readonly onDiscarded: () => void;
}

const initialBytes = 4096;

/**
 * Creates the buffers of a process. Bytes are copied, since a chunk of one byte would retain the whole block in which it
 * was received.
 *
 * @example
 * const buffer = createResponseBuffers({ maxBytes: 10, maxTotalBytes: 20 }).open(() => undefined);
 * buffer.add(Buffer.from("a")); // true
 */
export function createResponseBuffers({ maxBytes, maxTotalBytes }: ResponseBuffersOptions): ResponseBuffers {
    const rows = new Set<BufferRow>();
    let totalBytes = 0;

    function release(row: BufferRow): void {
        if (rows.delete(row)) {
            totalBytes -= row.bytes.length;
            row.bytes = Buffer.alloc(0);
        }
    }

    function reserve(row: BufferRow, size: number): void {
        const grown = Buffer.allocUnsafe(size);
        row.bytes.copy(grown, 0, 0, row.length);
        totalBytes += size - row.bytes.length;
        row.bytes = grown;
    }

    function removeLargest(): void {
        const [first, ...others] = rows;
        if (first) {
            const largest = others.reduce((best, row) => row.bytes.length > best.bytes.length ? row : best, first);
            release(largest);
            largest.onDiscarded();
        }
    }

    function append(row: BufferRow, chunk: Buffer): boolean {
        const needed = row.length + chunk.length;
        if (!rows.has(row) || needed > maxBytes) {
            release(row);
            return false;
        }
        if (needed > row.bytes.length) {
            reserve(row, Math.min(maxBytes, Math.max(needed, 2 * row.bytes.length, initialBytes)));
        }
        chunk.copy(row.bytes, row.length);
        row.length = needed;
        while (totalBytes > maxTotalBytes && rows.size > 0) {
            removeLargest();
        }
        return rows.has(row);
    }

    return {
        open: onDiscarded => {
            const row: BufferRow = { bytes: Buffer.alloc(0), length: 0, onDiscarded };
            rows.add(row);
            return {
                add: chunk => append(row, chunk),
                take: () => {
                    const bytes = row.bytes.subarray(0, row.length);
                    release(row);
                    return bytes;
                },
                release: () => {
                    release(row);
                },
            };
        },
    };
}

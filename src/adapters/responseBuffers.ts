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
    open(onDiscarded?: () => void): ResponseBuffer;
}

interface BufferRow {
    /** All blocks but the last are full. */
    blocks: Buffer[];
    allocatedBytes: number;
    length: number;
    readonly onDiscarded: () => void;
}

const firstBlockBytes = 4096;
const blockBytes = 64 * 1024;

/**
 * Creates the buffers of a process. Bytes are copied, since a chunk of one byte would retain the whole block in which it
 * was received. A buffer grows by blocks: growth by copying would leave as much garbage as it holds.
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
            totalBytes -= row.allocatedBytes;
            row.blocks = [];
            row.allocatedBytes = 0;
        }
    }

    function addBlock(row: BufferRow): void {
        const size = row.blocks.length === 0 ? firstBlockBytes : blockBytes;
        row.blocks.push(Buffer.allocUnsafe(size));
        row.allocatedBytes += size;
        totalBytes += size;
    }

    function appendBytes(row: BufferRow, chunk: Buffer): void {
        let offset = 0;
        while (offset < chunk.length) {
            if (row.length === row.allocatedBytes) {
                addBlock(row);
            }
            const block = row.blocks.at(-1) as Buffer;
            const copied = chunk.copy(block, block.length - (row.allocatedBytes - row.length), offset);
            row.length += copied;
            offset += copied;
        }
    }

    function removeLargest(): void {
        const [first, ...others] = rows;
        if (first) {
            const largest = others.reduce((best, row) => row.allocatedBytes > best.allocatedBytes ? row : best, first);
            release(largest);
            largest.onDiscarded();
        }
    }

    function append(row: BufferRow, chunk: Buffer): boolean {
        if (!rows.has(row) || row.length + chunk.length > maxBytes) {
            release(row);
            return false;
        }
        appendBytes(row, chunk);
        while (totalBytes > maxTotalBytes && rows.size > 0) {
            removeLargest();
        }
        return rows.has(row);
    }

    return {
        open: (onDiscarded = () => undefined) => {
            const row: BufferRow = { blocks: [], allocatedBytes: 0, length: 0, onDiscarded };
            rows.add(row);
            return {
                add: chunk => append(row, chunk),
                take: () => {
                    const bytes = Buffer.concat(row.blocks, row.length);
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

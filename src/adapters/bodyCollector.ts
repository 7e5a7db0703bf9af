/** Collects the body of one message, with bounds for its length and for the work of its pieces. */
import { createPieceCounter, type PieceCounterOptions } from "./pieceCounter";
import type { ResponseBuffers } from "./responseBuffers";

export interface BodyCollector {
    /** Adds a piece. Returns false, and discards the body, when it is longer or in more pieces than allowed. */
    add(piece: Buffer): boolean;
    /** Returns the body and holds none. */
    take(): Buffer;
    release(): void;
}

export interface BodyCollectorOptions extends PieceCounterOptions {
    /** Called when the body is discarded to make room for others. */
    readonly onDiscarded?: () => void;
}

/**
 * Creates the collector of one message. Pieces are copied, since each of them would retain the block in which it was
 * received.
 *
 * @example
 * const body = createBodyCollector(createResponseBuffers({ maxBytes: 1024, maxTotalBytes: 4096 }));
 * body.add(Buffer.from("{}")); // true
 */
export function createBodyCollector(
    buffers: ResponseBuffers,
    { onDiscarded, ...pieceOptions }: BodyCollectorOptions = {},
): BodyCollector {
    const buffer = buffers.open(onDiscarded);
    const pieces = createPieceCounter(pieceOptions);
    return {
        add: piece => {
            if (pieces.add(piece)) {
                return buffer.add(piece);
            }
            buffer.release();
            return false;
        },
        take: buffer.take,
        release: buffer.release,
    };
}

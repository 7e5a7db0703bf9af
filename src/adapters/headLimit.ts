/** Bounds the bytes that a server may send before the head of its response. */
import type * as http from "node:http";
import type { Socket } from "node:net";
import type { ListenerGuard } from "./listenerGuard";

/**
 * 16 informational responses and the head, each within the 16 KiB that Node's parser allows. The parser counts no line
 * ends before a head, of which a server may send any number.
 */
const maxBytesBeforeResponse = 17 * 16 * 1024;

export interface HeadLimitOptions {
    readonly guard: ListenerGuard;
    /** Called once, when too many bytes have come; has to end the request. */
    readonly onTooLong: () => void;
}

/**
 * Applies the limit to a request.
 *
 * @example
 * applyHeadLimit(request, { guard, onTooLong: () => request.destroy(new Error("The head is too long.")) });
 */
export function applyHeadLimit(request: http.ClientRequest, { guard, onTooLong }: HeadLimitOptions): void {
    const handleSocket = (socket: Socket): void => {
        let receivedBytes = 0;
        const handleData = guard(({ length }: Buffer): void => {
            receivedBytes += length;
            if (receivedBytes > maxBytesBeforeResponse) {
                removeHandler();
                onTooLong();
            }
        });
        const removeHandler = (): void => {
            socket.off("data", handleData);
        };
        socket.on("data", handleData);
        // Node's parser has subscribed to the socket before, so that a response that begins in some bytes is known here
        // before they are counted.
        request.once("response", guard(removeHandler));
        request.once("close", guard(removeHandler));
    };
    request.once("socket", guard(handleSocket));
}

/** TCP proxy between a process and another address, whose connections a test can break. */
import * as net from "node:net";
import { parseAddress } from "../../src/adapters/httpClient";

export interface TcpProxy {
    /** IP:PORT. */
    readonly address: string;
    /** Closes all connections and rejects new ones. */
    disconnect(): void;
    stop(): Promise<void>;
}

/** Starts a proxy on loopback that forwards to `target`. */
export async function startTcpProxy(target: string): Promise<TcpProxy> {
    const sockets = new Set<net.Socket>();
    let isDisconnected = false;
    const addSocket = (socket: net.Socket): void => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
    };
    const server = net.createServer(inbound => {
        addSocket(inbound);
        if (isDisconnected) {
            inbound.destroy();
            return;
        }
        const outbound = net.connect(parseAddress(target));
        addSocket(outbound);
        inbound.pipe(outbound);
        outbound.pipe(inbound);
        inbound.on("close", () => outbound.destroy());
        outbound.on("close", () => inbound.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const closeConnections = (): void => {
        isDisconnected = true;
        for (const socket of sockets) {
            socket.destroy();
        }
    };
    return {
        address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        disconnect: closeConnections,
        stop: () => {
            closeConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}

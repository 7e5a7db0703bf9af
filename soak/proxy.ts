/** TCP proxy on loopback in front of a server, with faults that can be switched while it runs. */
import * as net from "node:net";
import { parseAddress } from "../src/adapters/httpClient";

/**
 * `pass` forwards; `reset` resets every connection; `silent` drops all data; `oneWay` drops data from the server;
 * `slow` forwards with a delay; `narrow` forwards what the server sends at 7 Mbit/s in all; `paused` forwards when the mode ends; `closed` closes every connection in the orderly way
 * and refuses new ones, as the system of a killed process does.
 */
export type ProxyMode = "pass" | "reset" | "silent" | "oneWay" | "slow" | "narrow" | "paused" | "closed";

export interface Proxy {
    readonly address: string;
    mode: ProxyMode;
    update(mode: ProxyMode): void;
    close(): Promise<void>;
}

/** Delay of the mode `slow` in each direction. */
const slowDelayMs = 120;

const narrowBytesPerMs = 875;

/** Starts a proxy for the server at the address. */
export async function startProxy(target: string): Promise<Proxy> {
    const sockets = new Set<net.Socket>();
    /** Connections of which the proxy has dropped bytes. */
    const lossySockets = new WeakSet<net.Socket>();
    /** Time until which the narrow link is occupied; what follows waits for it, in the other modes as well. */
    let linkFreeAt = 0;
    const getDelayMs = (): number => Math.max(proxy.mode === "slow" ? slowDelayMs : 0, linkFreeAt - performance.now());

    function addSocket(socket: net.Socket, other: net.Socket): void {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", hadError => {
            sockets.delete(socket);
            // An orderly close would tell the other side that the stream is complete. Received bytes go first; no network
            // delivers the end of a connection without the bytes before it.
            const closeOther = (): void => {
                if (hadError || lossySockets.has(socket)) {
                    other.resetAndDestroy();
                }
                else {
                    other.end();
                }
            };
            setTimeout(closeOther, getDelayMs());
        });
    }

    function openPipe(from: net.Socket, to: net.Socket, isFromServer: boolean): void {
        from.on("data", bytes => {
            if (proxy.mode === "silent" || (proxy.mode === "oneWay" && isFromServer)) {
                lossySockets.add(from);
                return;
            }
            if (proxy.mode === "narrow" && isFromServer) {
                linkFreeAt = Math.max(linkFreeAt, performance.now()) + bytes.length / narrowBytesPerMs;
            }
            setTimeout(() => {
                if (!to.destroyed) {
                    to.write(bytes);
                }
            }, getDelayMs());
        });
        // A reset that comes with data is reported as an end; a write of no bytes fails then, and "close" passes it on.
        from.prependListener("end", () => from.write(Buffer.alloc(0)));
        from.on("end", () => {
            setTimeout(() => {
                if (!from.errored && !lossySockets.has(from)) {
                    to.end();
                }
            }, getDelayMs());
        });
    }

    const server = net.createServer(client => {
        if (proxy.mode === "reset") {
            client.on("error", () => undefined);
            client.resetAndDestroy();
            return;
        }
        const upstream = net.connect(parseAddress(target));
        addSocket(client, upstream);
        addSocket(upstream, client);
        openPipe(client, upstream, false);
        openPipe(upstream, client, true);
        if (proxy.mode === "paused") {
            client.pause();
            upstream.pause();
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;

    const modeStarts: { readonly [Mode in ProxyMode]?: () => void; } = {
        reset: () => {
            sockets.forEach(socket => socket.resetAndDestroy());
        },
        paused: () => {
            sockets.forEach(socket => socket.pause());
        },
        closed: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
    const modeEnds: { readonly [Mode in ProxyMode]?: () => void; } = {
        paused: () => {
            sockets.forEach(socket => socket.resume());
        },
        closed: () => {
            server.listen(port, "127.0.0.1");
        },
    };

    const proxy: Proxy = {
        address: `127.0.0.1:${port}`,
        mode: "pass",
        update: mode => {
            if (mode !== proxy.mode) {
                modeEnds[proxy.mode]?.();
            }
            proxy.mode = mode;
            modeStarts[mode]?.();
        },
        close: () => {
            for (const socket of sockets) {
                socket.destroy();
            }
            if (!server.listening) {
                return Promise.resolve();
            }
            return new Promise(resolve => {
                server.close(() => {
                    resolve();
                });
            });
        },
    };
    return proxy;
}

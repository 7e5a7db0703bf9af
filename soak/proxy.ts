/** TCP proxy on loopback in front of a server, with faults that can be switched while it runs. */
import * as net from "node:net";
import { parseAddress } from "../src/adapters/httpClient";

/**
 * `pass` forwards; `reset` resets every connection; `silent` drops all data; `oneWay` drops data from the server;
 * `slow` forwards with a delay; `narrow` forwards what the server sends at 7 Mbit/s in all; `damaged` overwrites a part of
 * each long piece that the server sends; `paused` forwards when the mode ends; `closed` closes every connection in the
 * orderly way and refuses new ones, as the system of a killed process does.
 */
export type ProxyMode = "pass" | "reset" | "silent" | "oneWay" | "slow" | "narrow" | "damaged" | "paused" | "closed";

export interface Proxy {
    readonly address: string;
    mode: ProxyMode;
    update(mode: ProxyMode): void;
    close(): Promise<void>;
}

/** Delay of the mode `slow` in each direction. */
const slowDelayMs = 120;

const narrowBytesPerMs = 875;

/** Pieces from this length on are damaged in the mode `damaged`; shorter ones hold small answers or the end of a large one. */
const minDamagedBytes = 16 * 1024;
const damagedBytes = 96;

/** Overwrites a part of the piece with bytes from its beginning, as base64 in most cases. */
function buildDamaged(bytes: Buffer): Buffer {
    const damaged = Buffer.from(bytes);
    damaged.copy(damaged, damaged.length / 2, 2048, 2048 + damagedBytes);
    return damaged;
}

interface DelayQueue {
    add(delayMs: number, action: () => void): void;
}

/** Runs actions in the order in which they were added; timers of their own would overtake each other in a busy process. */
function createDelayQueue(): DelayQueue {
    const waiting: { readonly dueAt: number; readonly action: () => void; }[] = [];
    let lastDueAt = 0;
    let isScheduled = false;
    const runDue = (): void => {
        isScheduled = false;
        while (waiting[0] && waiting[0].dueAt <= performance.now()) {
            waiting.shift()?.action();
        }
        schedule();
    };
    const schedule = (): void => {
        if (waiting[0] && !isScheduled) {
            isScheduled = true;
            setTimeout(runDue, Math.max(0, waiting[0].dueAt - performance.now()));
        }
    };
    return {
        add: (delayMs, action) => {
            lastDueAt = Math.max(lastDueAt, performance.now() + delayMs);
            waiting.push({ dueAt: lastDueAt, action });
            schedule();
        },
    };
}

/** Starts a proxy for the server at the address. */
export async function startProxy(target: string): Promise<Proxy> {
    const sockets = new Set<net.Socket>();
    /** Connections of which the proxy has dropped bytes. */
    const lossySockets = new WeakSet<net.Socket>();
    /** Time until which the narrow link is occupied; what follows waits for it, in the other modes as well. */
    let linkFreeAt = 0;
    const getDelayMs = (): number => Math.max(proxy.mode === "slow" ? slowDelayMs : 0, linkFreeAt - performance.now());

    function addSocket(socket: net.Socket, other: net.Socket, queue: DelayQueue): void {
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
            queue.add(getDelayMs(), closeOther);
        });
    }

    function openPipe(from: net.Socket, to: net.Socket, queue: DelayQueue, isFromServer: boolean): void {
        from.on("data", received => {
            if (proxy.mode === "silent" || (proxy.mode === "oneWay" && isFromServer)) {
                lossySockets.add(from);
                return;
            }
            const isDamaged = proxy.mode === "damaged" && isFromServer && received.length >= minDamagedBytes;
            const bytes = isDamaged ? buildDamaged(received) : received;
            if (proxy.mode === "narrow" && isFromServer) {
                linkFreeAt = Math.max(linkFreeAt, performance.now()) + bytes.length / narrowBytesPerMs;
            }
            queue.add(getDelayMs(), () => {
                if (!to.destroyed) {
                    to.write(bytes);
                }
            });
        });
        // A reset that comes with data is reported as an end; a write of no bytes fails then, and "close" passes it on.
        from.prependListener("end", () => from.write(Buffer.alloc(0)));
        from.on("end", () => {
            queue.add(getDelayMs(), () => {
                if (!from.errored && !lossySockets.has(from)) {
                    to.end();
                }
            });
        });
    }

    const server = net.createServer(client => {
        if (proxy.mode === "reset") {
            client.on("error", () => undefined);
            client.resetAndDestroy();
            return;
        }
        const upstream = net.connect(parseAddress(target));
        const [toServer, toClient] = [createDelayQueue(), createDelayQueue()];
        addSocket(client, upstream, toServer);
        addSocket(upstream, client, toClient);
        openPipe(client, upstream, toServer, false);
        openPipe(upstream, client, toClient, true);
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

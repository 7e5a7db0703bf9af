/** Kept connections to targets, one pool for each target. */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { TargetId } from "../../ids";

/** Idle connections are closed after this time, well before targets close them. */
const idleMs = 4000;
const maxIdleConnections = 24;

export interface TargetAgents {
    get(target: TargetId): http.Agent;
    close(target: TargetId): void;
    closeAll(): void;
}

/** Bytes that arrive on an idle connection belong to no request; they must not be read as the next answer. */
class GuardedAgent extends http.Agent {
    readonly #guards = new WeakMap<Socket, () => void>();

    override keepSocketAlive(socket: Socket): boolean {
        const handleStrayBytes = (): void => {
            socket.destroy();
        };
        this.#guards.set(socket, handleStrayBytes);
        socket.on("data", handleStrayBytes);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        const handleStrayBytes = this.#guards.get(socket);
        if (handleStrayBytes) {
            socket.off("data", handleStrayBytes);
        }
        super.reuseSocket(socket, request);
    }
}

/** Creates the pools of a process. */
export function createTargetAgents(): TargetAgents {
    const agents = new Map<TargetId, http.Agent>();
    return {
        get: target => {
            const known = agents.get(target);
            if (known) {
                return known;
            }
            const agent = new GuardedAgent({
                keepAlive: true,
                maxFreeSockets: maxIdleConnections,
                scheduling: "lifo",
                timeout: idleMs,
            });
            agents.set(target, agent);
            return agent;
        },
        close: target => {
            const agent = agents.get(target);
            agents.delete(target);
            for (const sockets of Object.values(agent?.freeSockets ?? {})) {
                sockets?.forEach(socket => socket.destroy());
            }
        },
        closeAll: () => {
            for (const agent of agents.values()) {
                agent.destroy();
            }
            agents.clear();
        },
    };
}

/** Keep-alive connections to targets, one pool per target. */
import type * as http from "node:http";
import type { Socket } from "node:net";
import { OutgoingAgent } from "../../adapters/outgoingSocket";
import type { TargetId } from "../../ids";

/** Well below the idle timeout of targets, so that they do not close a connection that is being reused. */
const idleTimeoutMs = 4000;
const maxIdleConnections = 24;

export interface TargetAgents {
    get(target: TargetId): http.Agent;
    /** Closes the idle connections to the target; running requests continue. */
    close(target: TargetId): void;
    closeAll(): void;
}

/**
 * Agent that closes an idle connection on which data arrives. Such data belongs to no request and would otherwise be
 * read as the response to the next one.
 */
class IdleGuardAgent extends OutgoingAgent {
    readonly #idleDataHandlers = new WeakMap<Socket, () => void>();

    override keepSocketAlive(socket: Socket): boolean {
        const handleIdleData = (): void => {
            socket.destroy();
        };
        this.#idleDataHandlers.set(socket, handleIdleData);
        socket.on("data", handleIdleData);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        const handleIdleData = this.#idleDataHandlers.get(socket);
        if (handleIdleData) {
            socket.off("data", handleIdleData);
        }
        super.reuseSocket(socket, request);
    }
}

/** Creates the connection pools of a process. */
export function createTargetAgents(): TargetAgents {
    const agents = new Map<TargetId, http.Agent>();
    return {
        get: target => {
            const existing = agents.get(target);
            if (existing) {
                return existing;
            }
            const agent = new IdleGuardAgent({
                keepAlive: true,
                maxFreeSockets: maxIdleConnections,
                scheduling: "lifo",
                timeout: idleTimeoutMs,
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

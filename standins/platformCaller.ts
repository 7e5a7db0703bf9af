/** Stand-in for a caller of the forward mode. */
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import { parseAddress } from "../src/adapters/httpClient";
import { apiKey, modelName } from "./platformConfiguration";

export interface CallerAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False when the connection closed before the answer was complete. */
    readonly isComplete: boolean;
}

export interface CallerRequest {
    readonly path: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    readonly key?: string | undefined;
    readonly agent?: http.Agent;
    /** Closes the connection after this time, as a caller that gives up does. */
    readonly disconnectAfterMs?: number;
}

/** Sends one request with the headers that the platform's callers send. */
export function sendRequest(address: string, request: CallerRequest): Promise<CallerAnswer> {
    const { path, method = "POST", headers = {}, body = "", key = apiKey, agent, disconnectAfterMs } = request;
    return new Promise((resolve, reject) => {
        const call = http.request({
            ...parseAddress(address),
            method,
            path,
            headers: {
                "host": "shop.example",
                "x-marjoramvane-attempt-id": randomUUID().replaceAll("-", "").slice(0, 16),
                "x-marjoramvane-deadline-ms": "3000",
                ...(key === "" ? {} : { authorization: `Token ${key}` }),
                ...headers,
            },
            ...(agent ? { agent } : {}),
        });
        if (disconnectAfterMs !== undefined) {
            setTimeout(() => call.destroy(), disconnectAfterMs);
        }
        call.on("error", reject);
        call.on("response", response => {
            const chunks: Buffer[] = [];
            const settleAnswer = (isComplete: boolean): void => {
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                    isComplete,
                });
            };
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("end", () => {
                settleAnswer(response.complete);
            });
            response.on("error", () => {
                settleAnswer(false);
            });
        });
        call.end(body);
    });
}

export const streamHeaders = {
    "x-marjoramvane-model": modelName,
    "x-marjoramvane-token-usage": "1460,80",
    "x-marjoramvane-prompt-prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
};

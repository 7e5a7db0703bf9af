/** The promises that a soak run checks, from what callers got and what servers ran. */
import { deadlineMs } from "./callers";
import { type RequestKind, secondKey, type SoakRequest, type SoakWorld } from "./tables";

/** Events of each stream of the stand-in engine. */
const streamEvents = 4;
/** Time after which a withdrawn key may be served no more. */
const revokeMs = 5000;
/** Time after the deadline by which each request has ended. */
const lateMs = 1000;
/** Statuses that promise that the request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** Part of the requests in the last part of a run, without faults, that must be served. */
const servedAtLeast = 0.95;
const quietPart = 0.15;

type Check = (world: SoakWorld, request: SoakRequest) => string | undefined;

const isStream = (kind: RequestKind): boolean => kind === "review" || kind === "reply";

function computeRuns({ engines, services }: SoakWorld, attempt: string): number {
    return [...engines, ...services].reduce(
        (sum, { server }) => sum + server.received.filter(entry => entry.ran && entry.attempt === attempt).length,
        0,
    );
}

function checkStream(body: string, isComplete: boolean): string | undefined {
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    if (ids.some((id, index) => id !== index + 1)) {
        return `its events are ${ids.join(",")}`;
    }
    return isComplete && ids.length !== streamEvents ? `it ended as complete after ${ids.length} events` : undefined;
}

const checks: Readonly<Record<string, Check>> = {
    "an answer belongs to its request and is whole": (_world, { answer, attempt, kind }) => {
        if (answer?.status !== 200) {
            return undefined;
        }
        const signature = String(answer.headers["x-marjoramvane-response-signature"] ?? "");
        if (!signature.endsWith(`.${attempt}`)) {
            return `it is signed ${signature}`;
        }
        if (isStream(kind)) {
            return checkStream(answer.body, answer.isComplete);
        }
        return answer.isComplete && answer.body !== "done" ? `its body is ${answer.body}` : undefined;
    },
    "what may not be repeated runs once": (world, { attempt, kind }) => {
        const runs = kind === "issue" || kind === "review" ? computeRuns(world, attempt) : 0;
        return runs > 1 ? `it ran ${runs} times` : undefined;
    },
    "a refusal that promises no run is true": (world, { answer, attempt }) =>
        answer && notRunStatuses.has(answer.status) && computeRuns(world, attempt) > 0
            ? `status ${answer.status}, but it ran`
            : undefined,
    "a valid key and a known route are never denied": ({ withdrawnAt }, { answer, key, kind, sentAt, endedAt }) => {
        const isWithdrawn = key === secondKey && withdrawnAt !== undefined && (endedAt ?? sentAt) >= withdrawnAt;
        if (answer?.status === 401 && !isWithdrawn) {
            return "it was denied";
        }
        return answer?.status === 404 && kind !== "probe" ? "its route was not found" : undefined;
    },
    "a withdrawn key is served no more": ({ withdrawnAt, faults }, { answer, key, sentAt, kind }) => {
        const isLate = withdrawnAt !== undefined && sentAt > withdrawnAt + revokeMs;
        // A process that the store does not answer cannot know.
        const isCut = faults.some(fault => fault.kind.startsWith("store") && fault.endsAt > sentAt - revokeMs);
        return isLate && !isCut && key === secondKey && kind !== "probe" && answer?.status === 200
            ? "it was served"
            : undefined;
    },
    "every request ends at its deadline": (_world, { sentAt, endedAt, isDisturbed }) =>
        !isDisturbed && (endedAt === undefined || endedAt - sentAt > deadlineMs + lateMs)
            ? `it took ${Math.round((endedAt ?? Infinity) - sentAt)} ms`
            : undefined,
};

/** A route that one run of a process has served is never unknown to it later. */
function checkConfiguration(world: SoakWorld): void {
    const probes = world.requests.filter(({ answer, kind }) => kind === "probe" && answer !== undefined);
    for (const { node, run, version, answer, sentAt, endedAt } of probes) {
        const key = `${node.vm} run ${run}`;
        if (answer?.status === 404) {
            const seen = probes.some(other =>
                other.node === node && other.run === run && other.version >= version
                && other.answer?.status === 200 && (other.endedAt ?? Infinity) < sentAt
            );
            if (seen) {
                world.findings.add(`${key}: went back behind version ${version} at ${Math.round(endedAt ?? 0)} ms`);
            }
        }
    }
}

/** Once all faults are over the fleet serves again. */
function checkRecovery(world: SoakWorld): void {
    const tail = world.requests.filter(({ sentAt, key, kind }) =>
        sentAt > world.lengthMs * (1 - quietPart) && key !== secondKey && kind !== "probe"
    );
    const unserved = tail.filter(({ answer }) => answer?.status !== 200 || !answer.isComplete);
    const served = tail.length - unserved.length;
    if (tail.length > 0 && served / tail.length < servedAtLeast) {
        const list = unserved.map(({ attempt, kind, node, sentAt, answer }) =>
            `${kind} ${attempt} to ${node.vm} at ${Math.round(sentAt)} ms (${answer?.status ?? "no answer"})`
        );
        world.findings.add(
            `only ${served} of ${tail.length} requests were served after the faults; not ${list.join(", ")}`,
        );
    }
}

/** Checks everything once the requests have ended. */
export function checkPromises(world: SoakWorld): void {
    for (const request of world.requests) {
        for (const [promise, check] of Object.entries(checks)) {
            const finding = check(world, request);
            if (finding !== undefined) {
                const { attempt, kind, node, sentAt } = request;
                const at = Math.round(sentAt);
                world.findings.add(`${promise}: ${kind} ${attempt} to ${node.vm} at ${at} ms: ${finding}`);
            }
        }
    }
    checkConfiguration(world);
    checkRecovery(world);
}

/** Guarantees that a soak run checks: what callers received is compared with what servers ran. */
import { deadlineMs } from "./callers";
import { pressKey, type RequestKind, secondKey, type SoakRequest, type SoakWorld } from "./tables";

/** Number of events in each stream of the stand-in engine. */
const streamEventCount = 4;
/** Time from the withdrawal of a key until no process may accept it, and from a configuration until it is in force. */
const maxRevocationMs = 5000;
/** Time after its deadline within which each request must end. */
const deadlineToleranceMs = 1000;
/** Statuses that guarantee that the request has not run and will not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** Fraction of the requests at the fault-free end of a run that must be served. */
const minServedFraction = 0.95;
/** Fraction of a run, at its end, in which no fault is active. */
const faultFreeFraction = 0.15;

/** A process that gets no answers from the store, or does not run, cannot receive a change. */
const hasRecentFault = ({ faults }: SoakWorld, at: number, kinds: RegExp): boolean =>
    faults.some(({ kind, startsAt, endsAt }) => kinds.test(kind) && startsAt < at && endsAt > at - maxRevocationMs);

type Check = (world: SoakWorld, request: SoakRequest) => string | undefined;

const isStream = (kind: RequestKind): boolean => kind === "review" || kind === "reply";

function computeRunCount({ engines, services }: SoakWorld, attempt: string): number {
    return [...engines, ...services].reduce(
        (sum, { server }) =>
            sum + server.receivedRequests.filter(request => request.hasRun && request.attempt === attempt).length,
        0,
    );
}

function checkStream(body: string, isComplete: boolean): string | undefined {
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    if (ids.some((id, index) => id !== index + 1)) {
        return `its events are ${ids.join(",")}`;
    }
    return isComplete && ids.length !== streamEventCount
        ? `it ended as complete after ${ids.length} events`
        : undefined;
}

const saltHeader = "x-marjoramvane-cache-salt";
const accountHeader = "x-marjoramvane-tenant-id";

/** Accounts whose earlier requests have left parts on an engine where the attempt, which ran there, finds them. */
function listPartMakers({ engines }: SoakWorld, attempt: string): readonly string[] {
    return engines.flatMap(({ server: { receivedRequests } }) => {
        const index = receivedRequests.findIndex(request => request.hasRun && request.attempt === attempt);
        const salt = receivedRequests[index]?.headers[saltHeader];
        return receivedRequests.slice(0, Math.max(0, index))
            .filter(({ hasRun, headers }) => hasRun && headers[saltHeader] === salt)
            .map(({ headers }) => String(headers[accountHeader]));
    });
}

const checks: Readonly<Record<string, Check>> = {
    "an answer belongs to its request and is complete": (_world, { answer, attempt, kind }) => {
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
    "a request that must not be repeated runs at most once": (world, { attempt, kind }) => {
        const runs = kind === "issue" || kind === "review" ? computeRunCount(world, attempt) : 0;
        return runs > 1 ? `it ran ${runs} times` : undefined;
    },
    "a request that is refused as not run did not run": (world, { answer, attempt }) =>
        answer && notRunStatuses.has(answer.status) && computeRunCount(world, attempt) > 0
            ? `status ${answer.status}, but it ran`
            : undefined,
    "a valid key and a known route are never refused": ({ withdrawnAt }, { answer, key, kind, sentAt, endedAt }) => {
        const isWithdrawn = key === secondKey && withdrawnAt !== undefined && (endedAt ?? sentAt) >= withdrawnAt;
        if (answer?.status === 401 && !isWithdrawn) {
            return "the key was refused";
        }
        return answer?.status === 404 && kind !== "probe" ? "its route was not found" : undefined;
    },
    "a configuration is in force after a while": (world, { answer, configurationVersion, sentAt, kind }) => {
        const isLate = sentAt > (world.versionTimes.get(configurationVersion) ?? sentAt) + maxRevocationMs;
        return isLate && kind === "probe" && answer?.status === 404 && !hasRecentFault(world, sentAt, /^store|process/)
            ? `its route of version ${configurationVersion} was not found`
            : undefined;
    },
    "a withdrawn key is not accepted any more": ({ withdrawnAt, faults }, { answer, key, sentAt, kind }) => {
        const isLate = withdrawnAt !== undefined && sentAt > withdrawnAt + maxRevocationMs;
        // A process that gets no answers from the store cannot receive the withdrawal.
        const isStoreFaulty = faults.some(fault =>
            fault.kind.startsWith("store") && fault.endsAt > sentAt - maxRevocationMs
        );
        return isLate && !isStoreFaulty && key === secondKey && kind !== "probe" && answer?.status === 200
            ? "it was served"
            : undefined;
    },
    "an isolated account shares no prompt parts": (world, { attempt, key, kind, sentAt, endedAt }) => {
        const current = world.isolations.findLast(({ at }) => at <= sentAt);
        const isSettled = current !== undefined && sentAt > current.at + maxRevocationMs
            && !world.isolations.some(({ at }) => at > sentAt && at <= (endedAt ?? Infinity));
        if (!isSettled || !isStream(kind) || hasRecentFault(world, sentAt, /^store|process/)) {
            return undefined;
        }
        const isolated: readonly string[] = current.accounts;
        const own = key === pressKey ? "press" : "shop";
        const found = listPartMakers(world, attempt).filter(maker =>
            maker !== own && (isolated.includes(own) || isolated.includes(maker))
        );
        return found.length > 0 ? `a request of ${own} found parts of ${found[0]}` : undefined;
    },
    "every request ends at its deadline": (_world, { sentAt, endedAt, isDisturbed }) =>
        !isDisturbed && (endedAt === undefined || endedAt - sentAt > deadlineMs + deadlineToleranceMs)
            ? `it took ${Math.round((endedAt ?? Infinity) - sentAt)} ms`
            : undefined,
};

/** A process that has served a route of a configuration must not return to a configuration without that route. */
function checkConfiguration(world: SoakWorld): void {
    const probes = world.requests.filter(({ answer, kind }) => kind === "probe" && answer !== undefined);
    for (const { router, runNumber, configurationVersion, answer, sentAt, endedAt } of probes) {
        const processRun = `${router.vm} run ${runNumber}`;
        if (answer?.status === 404) {
            const hasServedVersion = probes.some(other =>
                other.router === router && other.runNumber === runNumber
                && other.configurationVersion >= configurationVersion
                && other.answer?.status === 200 && (other.endedAt ?? Infinity) < sentAt
            );
            if (hasServedVersion) {
                world.violations.add(
                    `${processRun}: returned to a configuration before version ${configurationVersion} at ${
                        Math.round(endedAt ?? 0)
                    } ms`,
                );
            }
        }
    }
}

/** After the last fault the fleet must serve requests again. */
function checkRecovery(world: SoakWorld): void {
    // The crashing part stays in quarantine after its fault.
    const tail = world.requests.filter(({ sentAt, key, kind, hasCrashingPart }) =>
        sentAt > world.durationMs * (1 - faultFreeFraction) && key !== secondKey && kind !== "probe" && !hasCrashingPart
    );
    const unserved = tail.filter(({ answer }) => answer?.status !== 200 || !answer.isComplete);
    const served = tail.length - unserved.length;
    if (tail.length > 0 && served / tail.length < minServedFraction) {
        const list = unserved.map(({ attempt, kind, router, sentAt, answer }) =>
            `${kind} ${attempt} to ${router.vm} at ${Math.round(sentAt)} ms (${answer?.status ?? "no answer"})`
        );
        world.violations.add(
            `only ${served} of ${tail.length} requests were served after the faults; not served: ${list.join(", ")}`,
        );
    }
}

/** Checks all guarantees after the requests have ended. */
export function checkGuarantees(world: SoakWorld): void {
    for (const request of world.requests) {
        for (const [guarantee, check] of Object.entries(checks)) {
            const violation = check(world, request);
            if (violation !== undefined) {
                const { attempt, kind, router, sentAt } = request;
                const at = Math.round(sentAt);
                world.violations.add(`${guarantee}: ${kind} ${attempt} to ${router.vm} at ${at} ms: ${violation}`);
            }
        }
    }
    checkConfiguration(world);
    checkRecovery(world);
}

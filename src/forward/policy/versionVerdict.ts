/** Verdict about a service version from its answers, compared with those of the old version. */
import type { RouteId, TargetId } from "../../ids";
import { addResponses, countAbove, countResponses, findQuantileBucket, listBuckets } from "./responseHistogram";
import type { ResponseHistogram } from "./responseHistogram";
import { badScore, computeScore, goodScore, type HitCounts } from "./sequentialTest";

/** Answers of one side, the old or the new version, on one route. */
export interface SideCounts {
    answers: number;
    failures: number;
    /** Failures without an answer: time-outs and lost connections, as of a server that hangs or has crashed. */
    lost: number;
    /** Response times of answers that are no failures. */
    readonly responses: ResponseHistogram;
}

export interface RouteEvidence {
    readonly old: SideCounts;
    readonly new: SideCounts;
}

export const createSideCounts = (): SideCounts => ({ answers: 0, failures: 0, lost: 0, responses: [] });
export const createRouteEvidence = (): RouteEvidence => ({ old: createSideCounts(), new: createSideCounts() });

/** Adds the counts of one side to another, or subtracts them with factor -1. */
export function addSideCounts(total: SideCounts, added: SideCounts, factor = 1): void {
    total.answers += added.answers * factor;
    total.failures += added.failures * factor;
    total.lost += added.lost * factor;
    addResponses(total.responses, listBuckets(added.responses), factor);
}

/** Answers of the new version by server and route. */
export type ServerAnswers = ReadonlyMap<TargetId, ReadonlyMap<RouteId, SideCounts>>;

/** Answers of both versions: of the old one by route, of the new one by server and route. */
export interface VersionEvidence {
    readonly old: ReadonlyMap<RouteId, SideCounts>;
    readonly servers: ServerAnswers;
}

/** What a server's answers say apart from its being slow or out of reach. */
const buildAnsweredCounts = ({ answers, failures, lost }: SideCounts): SideCounts => ({
    answers: answers - lost,
    failures: failures - lost,
    lost: 0,
    responses: [],
});

/** Sums the answers of all servers by route. Of the server `except`, only the contents of its answers count. */
export function mergeServerAnswers(servers: ServerAnswers, except?: TargetId): Map<RouteId, SideCounts> {
    const sums = new Map<RouteId, SideCounts>();
    for (const [server, routes] of servers) {
        for (const [route, counts] of routes) {
            const sum = sums.get(route) ?? createSideCounts();
            sums.set(route, sum);
            addSideCounts(sum, server === except ? buildAnsweredCounts(counts) : counts);
        }
    }
    return sums;
}

/** The evidence by route; of the server `except`, only the contents of its answers count. */
export function mergeEvidence({ old, servers }: VersionEvidence, except?: TargetId): Map<RouteId, RouteEvidence> {
    const added = mergeServerAnswers(servers, except);
    return new Map(
        [...new Set([...old.keys(), ...added.keys()])].map(route => [route, {
            old: old.get(route) ?? createSideCounts(),
            new: added.get(route) ?? createSideCounts(),
        }]),
    );
}

/** Answers of the new version by route up to an earlier time. */
export type EarlierAnswers = ReadonlyMap<RouteId, SideCounts>;

export interface EvidenceToJudge {
    readonly routes: ReadonlyMap<RouteId, RouteEvidence>;
    /**
     * Earlier states of the new version's answers. What was answered since each of them is tested as well, so that a
     * version that turns bad is not excused by its good answers before.
     */
    readonly earlier: readonly EarlierAnswers[];
    /** True once all requests go to the new version, whose load then differs from that of the old one before. */
    readonly hasAllTraffic: boolean;
}

export type VersionTestName = "failures" | "rare failures" | "slow answers";

export interface VersionVerdict {
    readonly kind: "bad" | "good" | "open";
    /** The test and the route that decided, for the log; the route is undefined for all routes together. */
    readonly test?: VersionTestName;
    readonly route?: RouteId | undefined;
    /** Largest score of all tests. */
    readonly score: number;
}

/** Shares of failures that are expected of any version; crashes of single servers are part of it. */
const minFailureShare = 0.01;
const detectedFailureIncrease = 0.1;
/** The same for services with many requests, where a small part of the answers is many failures. */
const minRareFailureShare = 0.005;
const detectedRareFailureIncrease = 0.03;
/** An answer is slow if it takes longer than this quantile of the old version's on the same route, plus a margin. */
const slowQuantile = 0.95;
const minSlowShare = 0.05;
const detectedSlowIncrease = 0.2;
/**
 * Buckets above that of the quantile up to which an answer is not slow. A new server is reached over a new connection
 * and may be in another data centre; a faulty version is several times slower.
 */
const slowMarginBuckets = 1;
/** Margin while the new version has all traffic; it may have fewer servers than the old one. */
const slowMarginBucketsUnderAllTraffic = 3;
/** Answers of the old version on a route without which its response times are not known. */
const minOldResponses = 20;
/** Score of a single route from which on the version is not called good: more than one slow answer among a few. */
const leaningScore = 1.5;

interface TestInput extends HitCounts {
    readonly expectedShare: number;
}

interface VersionTest {
    readonly detectedIncrease: number;
    /** False for a test that needs more answers than a trial may have; it must only not lean towards bad. */
    readonly isNeededForGood: boolean;
    /** Counts for the answers in `tested`; undefined when the route does not allow the test. */
    readonly count: (old: SideCounts, tested: SideCounts, hasAllTraffic: boolean) => TestInput | undefined;
}

function countFailures(old: SideCounts, tested: SideCounts, minShare: number): TestInput {
    const oldShare = old.answers < minOldResponses ? 0 : old.failures / old.answers;
    return { answers: tested.answers, hits: tested.failures, expectedShare: Math.max(minShare, oldShare) };
}

const versionTests: Readonly<Record<VersionTestName, VersionTest>> = {
    "failures": {
        detectedIncrease: detectedFailureIncrease,
        isNeededForGood: true,
        count: (old, tested) => countFailures(old, tested, minFailureShare),
    },
    "rare failures": {
        detectedIncrease: detectedRareFailureIncrease,
        isNeededForGood: false,
        count: (old, tested) => countFailures(old, tested, minRareFailureShare),
    },
    "slow answers": {
        detectedIncrease: detectedSlowIncrease,
        isNeededForGood: true,
        count: (old, tested, hasAllTraffic) => {
            const oldResponses = countResponses(old.responses);
            const quantileBucket = findQuantileBucket(old.responses, slowQuantile);
            if (quantileBucket === undefined || oldResponses < minOldResponses) {
                return undefined;
            }
            const limit = quantileBucket + (hasAllTraffic ? slowMarginBucketsUnderAllTraffic : slowMarginBuckets);
            return {
                answers: countResponses(tested.responses),
                hits: countAbove(tested.responses, limit),
                expectedShare: Math.max(minSlowShare, countAbove(old.responses, limit) / oldResponses),
            };
        },
    },
};

const testNames = Object.keys(versionTests) as VersionTestName[];

/** Counts of all routes together; the expected share is the mean over the tested answers. */
function mergeInputs(inputs: readonly TestInput[]): TestInput {
    const answers = inputs.reduce((sum, input) => sum + input.answers, 0);
    const expected = inputs.reduce((sum, input) => sum + input.answers * input.expectedShare, 0);
    const hits = inputs.reduce((sum, input) => sum + input.hits, 0);
    return { answers, hits, expectedShare: answers === 0 ? minFailureShare : expected / answers };
}

interface TestScore {
    readonly test: VersionTestName;
    readonly route: RouteId | undefined;
    readonly score: number;
}

/** Scores of one test over the answers since an earlier state: for each route, then for all together. */
function listScores(
    { routes, hasAllTraffic }: EvidenceToJudge,
    test: VersionTestName,
    earlier: EarlierAnswers,
): readonly TestScore[] {
    const { count, detectedIncrease } = versionTests[test];
    const inputs = [...routes].flatMap(([route, evidence]) => {
        const tested = createSideCounts();
        addSideCounts(tested, evidence.new);
        const before = earlier.get(route);
        if (before) {
            addSideCounts(tested, before, -1);
        }
        const input = count(evidence.old, tested, hasAllTraffic);
        return input && input.answers > 0 ? [{ route, input }] : [];
    });
    const scores = inputs.map(({ route, input }) => ({
        test,
        route,
        score: computeScore(input, { expectedShare: input.expectedShare, detectedIncrease }),
    }));
    const merged = mergeInputs(inputs.map(({ input }) => input));
    const score = computeScore(merged, { expectedShare: merged.expectedShare, detectedIncrease });
    return [...scores, { test, route: undefined, score }];
}

const findHighest = (scores: readonly TestScore[]): TestScore | undefined =>
    scores.reduce<TestScore | undefined>(
        (highest, score) => (highest === undefined || score.score > highest.score ? score : highest),
        undefined,
    );

const noAnswers: EarlierAnswers = new Map();

/**
 * Computes the verdict: bad as soon as one test of one route, or of all routes together, says so for all answers or for
 * those since an earlier time; good when the needed tests of all routes together say so and no test leans towards bad.
 *
 * @example
 * computeVersionVerdict({ routes: new Map(), earlier: [], hasAllTraffic: false }).kind; // "open"
 */
export function computeVersionVerdict(evidence: EvidenceToJudge): VersionVerdict {
    const whole = testNames.flatMap(test => listScores(evidence, test, noAnswers));
    const recent = evidence.earlier.flatMap(earlier => testNames.flatMap(test => listScores(evidence, test, earlier)));
    const highest = findHighest([...whole, ...recent]);
    const score = highest?.score ?? 0;
    if (highest && score >= badScore) {
        return { kind: "bad", test: highest.test, route: highest.route, score };
    }
    const overall = whole.filter(({ route }) => route === undefined);
    const isOverallGood = overall.every(entry => entry.score <= goodScore || !versionTests[entry.test].isNeededForGood);
    const isLeaning = whole.some(entry => entry.score > leaningScore)
        || recent.some(entry => entry.score > badScore / 2);
    return { kind: isOverallGood && !isLeaning ? "good" : "open", score };
}

/**
 * Score that the answers must have without those of any one server: twice a server that hangs is unlikely, and a version
 * that is bad reaches it on a second server after a few answers.
 */
const confirmingScore = 2;

/**
 * Finds the server but for which the version would not count as bad, because it hangs, is slow or has crashed; undefined
 * when the version is to blame. Failures that a server answers with are never put down to the server.
 */
export function findSickServer(
    { evidence, earlier, hasAllTraffic }: {
        readonly evidence: VersionEvidence;
        readonly earlier: readonly ServerAnswers[];
        readonly hasAllTraffic: boolean;
    },
): TargetId | undefined {
    return [...evidence.servers.keys()].find(server => {
        const { score } = computeVersionVerdict({
            routes: mergeEvidence(evidence, server),
            earlier: earlier.map(servers => mergeServerAnswers(servers, server)),
            hasAllTraffic,
        });
        return score < confirmingScore;
    });
}

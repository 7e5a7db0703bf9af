/** Goals of the policy benchmark, checked against the baselines of the same run. Missed goals are always printed. */
import { baselineNames } from "./baselines";
import type { PolicyFigures } from "./measures";
import { type PolicyName, routerPolicy } from "./policyRun";

export interface GoalResult {
    readonly goal: string;
    readonly isMet: boolean;
    readonly detail: string;
}

export type CaseFigures = Readonly<Partial<Record<PolicyName, PolicyFigures>>>;

const minHitRateRatio = 0.9;
const maxFirstTokenRatio = 1.3;

/** Measures that are compared with least load: 1 when higher is better, -1 when lower is better. */
const comparedMeasures = {
    hitRate: 1,
    firstTokenMsP95: -1,
    firstTokenMsP99: -1,
    firstTokenMsP999: -1,
    wastedShare: -1,
    worstAccountMsP95: -1,
    refusedWithinRate: -1,
} as const satisfies Partial<Record<keyof PolicyFigures, 1 | -1>>;

type ComparedMeasure = keyof typeof comparedMeasures;

const formatValue = (value: number): string => (value <= 1 ? value.toFixed(3) : String(Math.round(value)));

/** Lists the measures in which `router` is worse than `leastLoad`. */
function listWorseMeasures(router: PolicyFigures, leastLoad: PolicyFigures): string[] {
    return (Object.keys(comparedMeasures) as ComparedMeasure[])
        .filter(measure => (router[measure] - leastLoad[measure]) * comparedMeasures[measure] < 0)
        .map(measure => `${measure} ${formatValue(router[measure])} against ${formatValue(leastLoad[measure])}`);
}

/** Compares the router's own policy with the best omniscient figure of each measure, and with least load. */
export function checkGoals(figures: CaseFigures): readonly GoalResult[] {
    const router = figures[routerPolicy];
    const leastLoad = figures["least load"];
    const omniscient = baselineNames
        .filter(name => name.startsWith("omniscient"))
        .flatMap(name => figures[name] ?? []);
    if (!router || !leastLoad || omniscient.length === 0) {
        return [];
    }
    const hitRate = Math.max(...omniscient.map(baseline => baseline.hitRate));
    const bestMs = Math.min(...omniscient.map(baseline => baseline.firstTokenMsP99));
    const worse = listWorseMeasures(router, leastLoad);
    return [
        {
            goal: "hit rate within 10% of omniscient",
            isMet: router.hitRate >= minHitRateRatio * hitRate,
            detail: `${router.hitRate.toFixed(3)} of ${hitRate.toFixed(3)}: ${(router.hitRate / hitRate).toFixed(2)}`,
        },
        {
            goal: "p99 first token within 1.3 times omniscient",
            isMet: router.firstTokenMsP99 <= maxFirstTokenRatio * bestMs,
            detail: `${router.firstTokenMsP99} ms to ${bestMs} ms: ${(router.firstTokenMsP99 / bestMs).toFixed(2)}`,
        },
        {
            goal: "not worse than least load by any measure",
            isMet: worse.length === 0,
            detail: worse.length === 0 ? "none worse" : worse.join("; "),
        },
    ];
}

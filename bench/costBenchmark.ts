/** Cost benchmark: CPU time, allocations, state size and control traffic as a function of size, with linear fits. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Hasher } from "../src/policy/prefix";
import { buildExchange, type CostCase, costCases, createSizedWorld } from "./costCases";
import { engineChoiceCases } from "./engineChoiceCases";

export interface CostPoint {
    readonly size: number;
    readonly microseconds: number;
    /** Bytes allocated; samples in which the garbage collector ran are left out. */
    readonly bytes: number;
}

export interface Fit {
    readonly intercept: number;
    readonly slope: number;
}

export interface CostResult {
    readonly operation: string;
    readonly variable: string;
    readonly points: readonly CostPoint[];
    readonly microseconds: Fit;
    readonly bytes: Fit;
}

export interface CostResults {
    readonly costs: readonly CostResult[];
    readonly state: readonly { readonly entry: string; readonly bytesPerEntry: number; }[];
    readonly control: readonly { readonly message: string; readonly bytes: number; readonly perSecond: number; }[];
}

const sampleMs = 25;
const sampleCount = 7;

/** Fits y = intercept + slope * x by least squares. */
export function computeFit(points: readonly (readonly [number, number])[]): Fit {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = variance === 0 ? 0 : covariance / variance;
    return { slope, intercept: meanY - slope * meanX };
}

const findMedian = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? Number.NaN;

function measurePoint({ prepare }: CostCase, size: number, hasher: Hasher): CostPoint {
    const prepared = prepare(size, hasher);
    let count = 1;
    for (let elapsed = 0; elapsed < sampleMs; count *= 2) {
        const start = performance.now();
        prepared.run(count);
        elapsed = performance.now() - start;
    }
    const times: number[] = [];
    const allocations: number[] = [];
    for (let sample = 0; sample < sampleCount; sample += 1) {
        const cpuBefore = process.cpuUsage();
        prepared.run(count);
        const used = process.cpuUsage(cpuBefore);
        times.push((used.user + used.system) / count);
        // A short run, so that the garbage collector seldom runs during it.
        const shortCount = Math.max(1, Math.ceil(count / 64));
        const heapBefore = process.memoryUsage().heapUsed;
        prepared.run(shortCount);
        const heapGrowth = process.memoryUsage().heapUsed - heapBefore;
        if (heapGrowth > 0) {
            allocations.push(heapGrowth / shortCount);
        }
    }
    return { size, microseconds: findMedian(times), bytes: findMedian(allocations) };
}

function measureCase(costCase: CostCase, hasher: Hasher): CostResult {
    const points = costCase.sizes.map(size => measurePoint(costCase, size, hasher));
    return {
        operation: costCase.operation,
        variable: costCase.variable,
        points,
        microseconds: computeFit(points.map(point => [point.size, point.microseconds])),
        bytes: computeFit(points.map(point => [point.size, point.bytes])),
    };
}

/** Measures the heap after a full garbage collection, in bytes. */
function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}

const stateSizes = {
    "prefix row with two holders": { variable: "prefixes", from: 1000, to: 101_000 },
    "member": { variable: "peers", from: 10, to: 5010 },
    "account with key": { variable: "accounts", from: 10, to: 2010 },
    "engine": { variable: "engines", from: 10, to: 2010 },
} as const;

function measureState(hasher: Hasher): CostResults["state"] {
    return Object.entries(stateSizes).map(([entry, { variable, from, to }]) => {
        const measure = (size: number): number => {
            const before = measureHeap();
            const sized = createSizedWorld(hasher, { prefixes: 10, [variable]: size });
            const heapGrowth = measureHeap() - before;
            // Using the world here keeps it on the heap until the measurement.
            return sized.world.tables.prefixes.size >= 0 ? heapGrowth : 0;
        };
        return { entry, bytesPerEntry: (measure(to) - measure(from)) / (to - from) };
    });
}

/** Exchanges of one VM per second in a large fleet: two sent and two received and answered on average. */
function listControlMessages(): CostResults["control"] {
    const bytes = JSON.stringify(buildExchange(710)).length;
    return [
        { message: "exchange, sent", bytes, perSecond: 2 },
        { message: "exchange, answers sent", bytes, perSecond: 2 },
    ];
}

export function runCostBenchmark(hasher: Hasher): CostResults {
    return {
        costs: [...costCases, ...engineChoiceCases].map(costCase => measureCase(costCase, hasher)),
        state: measureState(hasher),
        control: listControlMessages(),
    };
}

const formatNumber = (value: number): string => value.toPrecision(3);

export function formatCostResults({ costs, state, control }: CostResults): string {
    const total = control.reduce((sum, { bytes, perSecond }) => sum + bytes * perSecond, 0);
    return [
        "Cost of one operation: microseconds of CPU time, bytes allocated",
        "",
        "| operation | against | sizes | us at each size | us = a + b * size | bytes at each size | bytes = a + b * size |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        ...costs.map(({ operation, variable, points, microseconds, bytes }) =>
            `| ${
                [
                    operation,
                    variable,
                    points.map(point => point.size).join(", "),
                    points.map(point => formatNumber(point.microseconds)).join(", "),
                    `${formatNumber(microseconds.intercept)} + ${formatNumber(microseconds.slope)} * n`,
                    points.map(point => Math.round(point.bytes)).join(", "),
                    `${formatNumber(bytes.intercept)} + ${formatNumber(bytes.slope)} * n`,
                ].join(" | ")
            } |`
        ),
        "",
        "| state | bytes per entry |",
        "| --- | --- |",
        ...state.map(({ entry, bytesPerEntry }) => `| ${entry} | ${Math.round(bytesPerEntry)} |`),
        "",
        "| control message | bytes | per second and VM | bytes per second |",
        "| --- | --- | --- | --- |",
        ...control.map(({ message, bytes, perSecond }) =>
            `| ${message} | ${bytes} | ${perSecond} | ${bytes * perSecond} |`
        ),
        `| total | | | ${total} |`,
    ].join("\n");
}

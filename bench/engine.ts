/** Simulated model engine in virtual time: limited prefix cache, serial prefill, decode slots, crashes. */
import type { CacheChange } from "../standins/prefixCache";
import { createPrefixCache } from "../standins/prefixCache";
import type { Simulation } from "./simulation";
import { blockTokens, type EngineSize } from "./workload";

export interface EngineJob {
    readonly id: string;
    readonly blocks: readonly string[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly onFirstToken: (cachedTokens: number) => void;
    readonly onFinished: () => void;
    readonly onLost: () => void;
}

export interface EngineLoadReport {
    readonly running: number;
    readonly waiting: number;
    /** Prompt tokens accepted and not yet computed. */
    readonly waitingTokens: number;
}

export interface EngineForecast {
    /** Milliseconds until the first token, if the request is sent now. */
    readonly firstTokenMs: number;
    readonly missedTokens: number;
}

export interface FakeEngine {
    readonly name: string;
    getIncarnation(): string;
    isUp(): boolean;
    has(block: string): boolean;
    /** Milliseconds spent on prefill so far. */
    getBusyMs(): number;
    getReport(): EngineLoadReport;
    submit(job: EngineJob): void;
    cancel(id: string): void;
    /** Returns the exact time to the first token of a request sent now, except for evictions until then. */
    estimateFirstToken(blocks: readonly string[], promptTokens: number): EngineForecast;
    /** Loses all jobs and cached blocks; is up again with a new incarnation after `downMs`. */
    crash(downMs: number): void;
}

export interface EngineOptions extends EngineSize {
    readonly name: string;
    readonly simulation: Simulation;
    readonly onCacheChange: (engine: FakeEngine, change: CacheChange) => void;
    /** Called when the prefill of a job begins, with the number of leading blocks found in the cache. */
    readonly onPrefill: (engine: FakeEngine, job: EngineJob, hits: number) => void;
}

/** Time for scheduling and sampling the first token, once for each request. */
const prefillOverheadMs = 4;

interface Slot {
    readonly job: EngineJob;
    readonly missedTokens: number;
    prefillEndsAt: number;
    endsAt: number;
    isCancelled: boolean;
}

export function createFakeEngine(options: EngineOptions): FakeEngine {
    const { name, simulation, slots, maxBlocks, prefillTokensPerSecond, decodeMs } = options;
    let epoch = 0;
    let isUp = true;
    let busyMs = 0;
    let queue: EngineJob[] = [];
    let prefilling: Slot | undefined;
    const decoding = new Map<string, Slot>();
    let cache = createCache();

    function createCache() {
        return createPrefixCache({
            maxBlocks,
            onChange: change => {
                options.onCacheChange(engine, change);
            },
        });
    }

    const computePrefillMs = (tokens: number): number => prefillOverheadMs + (tokens / prefillTokensPerSecond) * 1000;

    function computeHits(blocks: readonly string[], pendingBlocks?: ReadonlySet<string>): number {
        const index = blocks.findIndex(block => !cache.has(block) && !pendingBlocks?.has(block));
        return index < 0 ? blocks.length : index;
    }

    const computeMissed = (job: EngineJob, hits: number): number => Math.max(0, job.promptTokens - hits * blockTokens);

    function startNext(): void {
        if (prefilling || decoding.size >= slots) {
            return;
        }
        const job = queue.shift();
        if (!job) {
            return;
        }
        const hits = cache.findHits(job.blocks);
        options.onPrefill(engine, job, hits);
        const missedTokens = computeMissed(job, hits);
        const prefillMs = computePrefillMs(missedTokens);
        busyMs += prefillMs;
        const prefillEndsAt = simulation.getNow() + prefillMs;
        const slot = {
            job,
            missedTokens,
            prefillEndsAt,
            endsAt: prefillEndsAt + job.outputTokens * decodeMs,
            isCancelled: false,
        };
        prefilling = slot;
        const startEpoch = epoch;
        simulation.schedule(prefillMs, () => {
            if (startEpoch === epoch) {
                startDecode(slot);
            }
        });
    }

    function startDecode(slot: Slot): void {
        const { job } = slot;
        prefilling = undefined;
        cache.add(job.blocks);
        if (!slot.isCancelled) {
            decoding.set(job.id, slot);
            job.onFirstToken(Math.max(0, job.promptTokens - slot.missedTokens));
            const startEpoch = epoch;
            simulation.schedule(job.outputTokens * decodeMs, () => {
                if (startEpoch === epoch && decoding.delete(job.id)) {
                    job.onFinished();
                    startNext();
                }
            });
        }
        startNext();
    }

    function estimateFirstToken(blocks: readonly string[], promptTokens: number): EngineForecast {
        const now = simulation.getNow();
        const slotEndTimes = [...decoding.values()].map(slot => slot.endsAt);
        const pendingBlocks = new Set<string>();
        let prefillFreeAt = now;
        if (prefilling) {
            prefillFreeAt = prefilling.prefillEndsAt;
            slotEndTimes.push(prefilling.endsAt);
            prefilling.job.blocks.forEach(block => pendingBlocks.add(block));
        }
        const waitForSlot = (): void => {
            slotEndTimes.sort((left, right) => left - right);
            while (slotEndTimes.length >= slots) {
                prefillFreeAt = Math.max(prefillFreeAt, slotEndTimes.shift() as number);
            }
        };
        for (const job of queue) {
            waitForSlot();
            prefillFreeAt += computePrefillMs(computeMissed(job, computeHits(job.blocks, pendingBlocks)));
            slotEndTimes.push(prefillFreeAt + job.outputTokens * decodeMs);
            job.blocks.forEach(block => pendingBlocks.add(block));
        }
        waitForSlot();
        const missedTokens = Math.max(0, promptTokens - computeHits(blocks, pendingBlocks) * blockTokens);
        return { firstTokenMs: prefillFreeAt - now + computePrefillMs(missedTokens), missedTokens };
    }

    function computeWaitingTokens(): number {
        const remainingMs = prefilling ? Math.max(0, prefilling.prefillEndsAt - simulation.getNow()) : 0;
        const queued = queue.reduce((sum, job) => sum + computeMissed(job, computeHits(job.blocks)), 0);
        return Math.round(queued + (remainingMs / 1000) * prefillTokensPerSecond);
    }

    function handleCrash(downMs: number): void {
        const lostJobs = [
            ...queue,
            ...(prefilling ? [prefilling.job] : []),
            ...[...decoding.values()].map(slot => slot.job),
        ];
        epoch += 1;
        isUp = false;
        queue = [];
        prefilling = undefined;
        decoding.clear();
        cache = createCache();
        for (const job of lostJobs) {
            job.onLost();
        }
        simulation.schedule(downMs, () => {
            isUp = true;
        });
    }

    const engine: FakeEngine = {
        name,
        getIncarnation: () => `${name}-run-${epoch}`,
        isUp: () => isUp,
        has: block => cache.has(block),
        getBusyMs: () => busyMs,
        getReport: () => ({
            running: decoding.size + (prefilling ? 1 : 0),
            waiting: queue.length,
            waitingTokens: computeWaitingTokens(),
        }),
        submit: job => {
            queue.push(job);
            startNext();
        },
        cancel: id => {
            queue = queue.filter(job => job.id !== id);
            if (prefilling?.job.id === id) {
                prefilling.isCancelled = true;
            }
            if (decoding.delete(id)) {
                startNext();
            }
        },
        estimateFirstToken,
        crash: handleCrash,
    };
    return engine;
}

/** Engines with few slots and one process in front of them, in virtual time. The most urgent waiting request begins first. */
import type { ForwardEffectOf } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toMillis, toRequestId } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildHeaderFields,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listEffects,
} from "./forwardNode";

/** A kind of request. The test's route and the path of its requests carry the name of the kind. */
export interface SlotLoadKind {
    readonly name: string;
    readonly objectiveMs: number;
    /** Priority of the route; 0 is the most urgent. */
    readonly priority: number;
    /** Time from the first event to the end. */
    readonly outputMs: number;
    readonly intervalMs: number;
    readonly promptTokens?: number;
}

export interface SlotLoadOptions {
    readonly engines: number;
    readonly slots: number;
    readonly kinds: readonly SlotLoadKind[];
    readonly durationMs: number;
}

export interface SlotLoadFigures {
    readonly sent: number;
    readonly refused: number;
}

/** Creates a process that has read the store. With `bySlots` undefined, the settings are those of a process without it. */
export async function createSlotNode(
    { bySlots, changes, name = "front-1" }: {
        readonly bySlots?: boolean;
        readonly changes: Parameters<ForwardTestNode["buildReadEvent"]>[0];
        readonly name?: string;
    },
): Promise<ForwardTestNode> {
    const node = await createForwardTestNode(name);
    if (bySlots !== undefined) {
        node.world.settings = { ...node.world.settings, admission: { bySlots } };
    }
    node.run([]);
    node.runFor(300, createGrantingStore(node.getNow), [node.buildReadEvent(changes)]);
    return node;
}

interface Work {
    readonly request: string;
    readonly attempt: number;
    readonly priority: number;
    readonly outputMs: number;
    firstEventAt: number;
    hasBegun: boolean;
}

/** Time from the start on a slot to the first event. */
const promptMs = 100;
const stepMs = 5;
const callerTimeoutMs = 12_000;
const usualTokens = 800;

/** Offers the load to engines with admission by slots, and counts refusals of each kind. */
export async function runSlotLoad(
    { engines, slots, kinds, durationMs }: SlotLoadOptions,
): Promise<ReadonlyMap<string, SlotLoadFigures>> {
    const routes = kinds.map(({ name, objectiveMs, priority }) =>
        buildRoute({
            id: name as ReturnType<typeof buildRoute>["id"],
            prefix: `/${name}/`,
            latencyObjectiveMs: objectiveMs,
            timeoutMs: callerTimeoutMs,
            priority,
        })
    );
    const names = Array.from({ length: engines }, (_, index) => `e${index}`);
    const targets = names.map(name => ({ name, target: buildTarget(name, { slots }) }));
    const node = await createSlotNode({ bySlots: true, changes: { document: buildDocument({ routes }), targets } });
    const store = createGrantingStore(node.getNow);
    const [waiting, running] = [new Map<string, Work[]>(), new Map<string, Work[]>()];
    const figures = new Map(kinds.map(({ name }) => [name, { sent: 0, refused: 0 }]));
    const findKind = (request: string) => kinds.find(({ name }) => request.startsWith(name)) as SlotLoadKind;

    function addCall({ request, attempt, call }: ForwardEffectOf<"sendRequest">): void {
        const work = {
            request,
            attempt,
            priority: call.engine?.priority ?? 0,
            outputMs: findKind(request).outputMs,
            firstEventAt: 0,
            hasBegun: false,
        };
        waiting.set(call.target, [...waiting.get(call.target) ?? [], work]);
    }

    function runEngine(target: string, now: number): ForwardEvent[] {
        const events: ForwardEvent[] = [];
        const current = running.get(target) ?? [];
        for (const work of current) {
            const at = { request: toRequestId(work.request), attempt: work.attempt };
            if (!work.hasBegun && now >= work.firstEventAt) {
                work.hasBegun = true;
                const headerFields = buildHeaderFields(work.request);
                events.push({ kind: "attemptAnswered", ...at, status: 200, headerFields, isOpenStream: true });
                events.push({ kind: "attemptFirstEvent", ...at });
            }
            if (now >= work.firstEventAt + work.outputMs) {
                events.push({ kind: "attemptFinished", ...at });
            }
        }
        const left = current.filter(work => now < work.firstEventAt + work.outputMs);
        const queue = (waiting.get(target) ?? []).sort((one, other) => one.priority - other.priority);
        for (const work of queue.splice(0, slots - left.length)) {
            work.firstEventAt = now + promptMs;
            left.push(work);
        }
        running.set(target, left);
        return events;
    }

    let pending: readonly ForwardEvent[] = [];
    for (let elapsed = 0; elapsed < durationMs; elapsed += stepMs) {
        const now = node.getNow() + stepMs;
        const arrivals = kinds.flatMap(({ name, intervalMs, promptTokens = usualTokens }): ForwardEvent[] => {
            const row = figures.get(name);
            if (!row || elapsed % intervalMs >= stepMs) {
                return [];
            }
            row.sent += 1;
            const path = `/${name}/x`;
            const arrival = buildArrival(`${name}-${row.sent}`, {
                callerTimeoutMs,
                promptTokens,
                path,
                arrivedAt: toMillis(now),
            });
            return [{ kind: "requestArrived", arrival }];
        });
        const engineEvents = targets.flatMap(({ target }) => runEngine(target.id, now));
        const effects = node.run([...pending, ...engineEvents, ...arrivals], stepMs);
        pending = [
            ...effects.flatMap(store),
            ...listEffects(effects, "sendRequest").map(({ request, attempt }): ForwardEvent => ({
                kind: "attemptWriteStarted",
                request,
                attempt,
            })),
        ];
        listEffects(effects, "sendRequest").forEach(addCall);
        for (const { request } of listEffects(effects, "refuseRequest")) {
            const row = figures.get(findKind(request).name);
            if (row) {
                row.refused += 1;
            }
        }
    }
    return figures;
}

/** Evidence about crashes of engines in the state that processes exchange. Shared by systems. */
import { logInfo } from "../../effects";
import { addMillis } from "../../ids";
import type { ForwardTick } from "../events";
import type { PartId } from "../ids";
import type { PeerState } from "../peers";
import { addSuspect, type CrashRow } from "../tables/crashes";
import { isQuarantined } from "../tables/quarantine";
import type { ForwardWorld } from "../world";
import { confirmCrash, recordBegunAnswers, scheduleCrashEvaluation } from "./followCrashes";
import { addQuarantine } from "./updateQuarantine";

/** Newest crashes that one state message reports, and suspects of each. */
const maxReportedCrashes = 16;
/** Every peer has heard of an older crash, or learns of a quarantine from those that have. */
const maxReportedAgeMs = 30_000;
const maxReportedSuspects = 48;

type CrashReports = Pick<PeerState, "crashes" | "answered" | "quarantined">;

const isReported = (tick: ForwardTick, { failedAt }: CrashRow): boolean => tick.now - failedAt <= maxReportedAgeMs;

const listNewestCrashes = (world: ForwardWorld, tick: ForwardTick): readonly CrashRow[] =>
    world.tables.crashes.list()
        .filter(crash => isReported(tick, crash))
        .sort((left, right) => right.failedAt - left.failedAt)
        .slice(0, maxReportedCrashes);

/** Parts of older crashes that an answer since then has cleared. */
const listClearedSince = (world: ForwardWorld): readonly PartId[] =>
    world.tables.crashes.list().flatMap(({ clearedSuspects }) => clearedSuspects);

/** Suspects of known crashes that this process has seen answered, with the time since then; the receiver judges it. */
function listAnswered(
    world: ForwardWorld,
    tick: ForwardTick,
    crashes: readonly CrashRow[],
): NonNullable<CrashReports["answered"]> {
    const reportedSuspects = crashes.flatMap(({ suspects }) => [...suspects.keys()]);
    return [...new Set([...reportedSuspects, ...listClearedSince(world)])].flatMap(part => {
        const answeredAt = world.tables.answeredParts.getAnsweredAt(part);
        return answeredAt === undefined ? [] : [[part, Math.round(tick.now - answeredAt)] as const];
    });
}

/** Reports of this process: crashes, what clears suspects, and quarantines that the store does not hold yet. */
export function buildCrashReports(world: ForwardWorld, tick: ForwardTick): CrashReports {
    const unstored = world.tables.quarantine.list().filter(({ isStored }) => !isStored);
    const crashes = listNewestCrashes(world, tick);
    if (crashes.length === 0 && unstored.length === 0 && listClearedSince(world).length === 0) {
        return {};
    }
    recordBegunAnswers(world, tick);
    return {
        crashes: crashes.map(({ target, failedAt, isConfirmed, suspects }) => [
            target,
            Math.round(tick.now - failedAt),
            isConfirmed,
            [...suspects].slice(0, maxReportedSuspects),
        ]),
        answered: listAnswered(world, tick, crashes),
        quarantined: unstored.map(({ part, endsAt, offences }) => [part, endsAt, offences]),
    };
}

function applyCrashes(world: ForwardWorld, tick: ForwardTick, { crashes = [] }: PeerState): void {
    for (const [target, ageMs, isConfirmed, suspects] of crashes) {
        const crash = world.tables.crashes.add(target, addMillis(tick.now, -ageMs));
        const knownSuspects = crash.suspects.size;
        for (const [part, depth] of suspects) {
            addSuspect(crash, part, depth);
        }
        if (isConfirmed) {
            confirmCrash(world, tick, crash, "a peer reported it");
        }
        if (crash.isConfirmed && crash.suspects.size > knownSuspects) {
            scheduleCrashEvaluation(world, tick, crash);
        }
    }
}

function applyQuarantined(world: ForwardWorld, tick: ForwardTick, { quarantined = [], vm }: PeerState): void {
    const { quarantine } = world.tables;
    for (const [part, endsAt, offences] of quarantined) {
        if (!isQuarantined(quarantine, part as PartId, tick.now) && endsAt > tick.wallNow) {
            addQuarantine(world, tick, { part, endsAt, offences, isStored: false });
            world.timers.schedule({ name: "quarantineWrite", at: tick.now });
            logInfo(world.effects, "quarantine:", "A peer reported a quarantine that is not stored yet.", {
                part,
                offences,
                peer: vm,
            });
        }
    }
}

/** Applies the reports of a peer. */
export function applyCrashReports(world: ForwardWorld, tick: ForwardTick, state: PeerState): void {
    for (const [part, ageMs] of state.answered ?? []) {
        world.tables.answeredParts.record(part, addMillis(tick.now, -ageMs));
    }
    applyCrashes(world, tick, state);
    applyQuarantined(world, tick, state);
}

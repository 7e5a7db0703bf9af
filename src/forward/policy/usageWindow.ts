/** Sliding window over the usage of an account, counted in slots of equal length. */
import type { Millis } from "../../ids";

export interface UsageWindow {
    /** Ring buffer of the tokens used in each slot; a slot's index is its number modulo the length. */
    readonly slots: number[];
    readonly slotMs: number;
    /** Number of the newest slot. */
    newest: number;
    total: number;
}

/** Slots in one window. One more is kept, so that a slot counts until all of it is outside the window. */
const slotsPerWindow = 32;

/**
 * Creates an empty window.
 *
 * @example
 * createUsageWindow({ windowMs: 8000, now: toMillis(0) }).total; // 0
 */
export function createUsageWindow(
    { windowMs, now }: { readonly windowMs: number; readonly now: Millis; },
): UsageWindow {
    const slotMs = windowMs / slotsPerWindow;
    return {
        slots: new Array<number>(slotsPerWindow + 1).fill(0),
        slotMs,
        newest: Math.floor(now / slotMs),
        total: 0,
    };
}

/** Drops the slots that have left the window. */
export function updateUsageWindow(window: UsageWindow, now: Millis): void {
    const current = Math.floor(now / window.slotMs);
    const count = window.slots.length;
    for (let slot = Math.max(window.newest + 1, current - count + 1); slot <= current; slot += 1) {
        window.total -= window.slots[slot % count] ?? 0;
        window.slots[slot % count] = 0;
    }
    window.newest = Math.max(window.newest, current);
}

/** Adds tokens to the newest slot; a negative number refunds them. */
export function addUsage(window: UsageWindow, tokens: number): void {
    const index = window.newest % window.slots.length;
    window.slots[index] = (window.slots[index] ?? 0) + tokens;
    window.total += tokens;
}

/** Tokens used in the last `ms` milliseconds. A slot that is only partly within that time counts in proportion. */
export function computeRecentUsage(window: UsageWindow, now: Millis, ms: number): number {
    const { slots, slotMs, newest } = window;
    let remainingMs = ms - (now - newest * slotMs);
    let tokens = slots[newest % slots.length] ?? 0;
    for (let slot = newest - 1; remainingMs > 0 && slot > newest - slots.length; slot -= 1) {
        tokens += (slots[slot % slots.length] ?? 0) * Math.min(1, remainingMs / slotMs);
        remainingMs -= slotMs;
    }
    return tokens;
}

/** Milliseconds until the usage has fallen by `tokens`. */
export function computeUsageWait(window: UsageWindow, tokens: number): number {
    const count = window.slots.length;
    let freed = 0;
    for (let age = count - 1; age >= 0; age -= 1) {
        freed += window.slots[(window.newest - age + count) % count] ?? 0;
        if (freed >= tokens) {
            return (count - age) * window.slotMs;
        }
    }
    return count * window.slotMs;
}

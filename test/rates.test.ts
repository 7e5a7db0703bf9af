/** Rate limits: each VM gets the tokens that it needs, as grants of the bucket owner or from its floor. */
import { beforeAll, describe, expect, it } from "vitest";
import { loadHasher } from "../src/adapters/hasher";
import type { Hasher } from "../src/policy/prefix";
import { listByRendezvous } from "../src/policy/rendezvous";
import { createRateFleet, type RateFleet, type RateProcess } from "./support/rateFleet";

const account = { rate: 1000, burst: 3000 };
let hasher: Hasher;

beforeAll(async () => {
    hasher = await loadHasher();
});

const listKeys = (fleet: RateFleet, prefix: string): string[] =>
    fleet.store.listRange(`${prefix}/`, `${prefix}0`).map(row => row.key);

function findOwner(fleet: RateFleet): RateProcess | undefined {
    const value = fleet.store.listRange("rate/shop", undefined)[0]?.value ?? "{}";
    return fleet.processes.find(process => process.address === (JSON.parse(value) as { address?: string; }).address);
}

/** Starts a fleet whose bucket has an owner and is full. */
function createReadyFleet(rates: Record<string, unknown> = {}) {
    const fleet = createRateFleet({ hasher, seed: 7, size: 3, account, rates });
    fleet.run(1500);
    fleet.listRunning().forEach(process => fleet.sendRequest(process, 1, 1));
    fleet.run(8000);
    fleet.refusals.length = 0;
    fleet.admissions.length = 0;
    const owner = findOwner(fleet);
    const nonOwner = fleet.processes.find(process => process !== owner) as RateProcess;
    return { fleet, owner: owner as RateProcess, nonOwner };
}

describe("grants", () => {
    it("serve a burst within the rate on a VM that does not own the bucket", () => {
        const { fleet, owner, nonOwner } = createReadyFleet();
        expect(owner).toBeDefined();
        for (let index = 0; index < 30; index += 1) {
            fleet.sendRequest(nonOwner, 20, 30);
        }
        fleet.run(9000);
        expect(fleet.refusals).toEqual([]);
        expect(fleet.admissions).toHaveLength(30);
    });

    it("need no call to a peer on the owner's own VM", () => {
        const { fleet, owner } = createReadyFleet();
        const callCountBefore = fleet.calls.peer;
        for (let index = 0; index < 30; index += 1) {
            fleet.sendRequest(owner, 20, 30);
        }
        fleet.run(9000);
        expect(fleet.admissions).toHaveLength(30);
        expect(fleet.calls.peer).toBe(callCountBefore);
    });

    it("cover many requests with each call to the owner", () => {
        const { fleet, nonOwner } = createReadyFleet();
        const callCountBefore = fleet.calls.peer;
        for (let at = 8000; at < 13_000; at += 10) {
            fleet.schedule(at, () => fleet.sendRequest(nonOwner, 2, 3));
        }
        fleet.run(14_000);
        expect(fleet.admissions).toHaveLength(500);
        expect(fleet.calls.peer - callCountBefore).toBeLessThan(50);
    });

    it("charge usage beyond a request's reservation to the next tokens of the account", () => {
        const { fleet, owner } = createReadyFleet({ floorFraction: 0 });
        fleet.sendRequest(owner, 50, 50);
        fleet.run(8001);
        const request = owner.world.tables.requests.list("running")[0]?.id;
        const usage = { promptTokens: 50, completionTokens: 2900, cachedTokens: 0 };
        owner.runner.post({ kind: "attemptFinished", request: request as never, attempt: 1, usage });
        fleet.run(8010);
        fleet.sendRequest(owner, 1, 999);
        fleet.run(8500);
        expect(fleet.refusals).toMatchObject([{ code: "rate_limited", verdict: "not_run", retryAfterSeconds: 1 }]);
        fleet.run(10_000);
        fleet.sendRequest(owner, 1, 999);
        fleet.run(10_500);
        expect(fleet.admissions).toHaveLength(2);
    });

    it("return no tokens of a running request whose caller disconnects, as the engine may have computed them", () => {
        const { fleet, owner } = createReadyFleet({ floorFraction: 0 });
        fleet.sendRequest(owner, 1, 2990);
        fleet.run(8001);
        const request = owner.world.tables.requests.list("running")[0]?.id;
        owner.runner.post({ kind: "callerDisconnected", request: request as never });
        fleet.run(8010);
        fleet.sendRequest(owner, 1, 999);
        fleet.run(8500);
        expect(fleet.refusals).toMatchObject([{ code: "rate_limited", verdict: "not_run" }]);
    });

    it("come from another VM after the owner of the bucket crashed", () => {
        const { fleet, owner, nonOwner } = createReadyFleet();
        owner.isStopped = true;
        for (let at = 8000; at < 20_000; at += 100) {
            fleet.schedule(at, () => fleet.sendRequest(nonOwner, 2, 3));
        }
        fleet.run(20_000);
        expect(findOwner(fleet)).toBeDefined();
        expect(findOwner(fleet)).not.toBe(owner);
        fleet.refusals.length = 0;
        fleet.sendRequest(nonOwner, 500, 500);
        fleet.run(21_000);
        expect(fleet.refusals).toEqual([]);
    });

    it("come again from an owner whose store key survived an outage, although another VM is now preferred", () => {
        const { fleet, owner } = createReadyFleet();
        const vms = fleet.processes.map(process => process.vm);
        const candidateVms = Array.from({ length: 50 }, (_, index) => `late-${index}`);
        const preferredVm = candidateVms.find(name => listByRendezvous(hasher, "rate/shop", [...vms, name])[0] === name)
            ?? "";
        fleet.faults.isStoreDown = true;
        fleet.run(14_000);
        // The store keeps leases through its own outages, but the owner's lease has expired by the owner's own clock.
        fleet.store.extendLeases();
        const newProcess = fleet.startProcess(preferredVm, "127.0.0.1:3000");
        fleet.faults.isStoreDown = false;
        fleet.run(20_000);
        for (const at of [20_000, 22_000, 24_000]) {
            fleet.schedule(at, () => fleet.sendRequest(newProcess, 50, 50));
        }
        fleet.run(26_000);
        expect(fleet.admissions.length).toBeGreaterThan(0);
        expect(listKeys(fleet, "rate")).toHaveLength(1);
        expect(owner.world.tables.buckets.list()).toHaveLength(1);
    });
});

describe("floors", () => {
    it("serves requests while the store is down and the owner has crashed, until the slot lease ends", () => {
        const { fleet, owner, nonOwner } = createReadyFleet();
        fleet.faults.isStoreDown = true;
        owner.isStopped = true;
        fleet.run(12_000);
        fleet.sendRequest(nonOwner, 50, 50);
        fleet.run(13_000);
        expect(fleet.admissions).toHaveLength(1);
        fleet.run(30_000);
        fleet.sendRequest(nonOwner, 50, 50);
        fleet.run(31_000);
        expect(fleet.admissions).toHaveLength(1);
        expect(fleet.refusals).toMatchObject([{ verdict: "not_run" }]);
    });

    it("does not share a floor between two processes of the same VM", () => {
        const { fleet, nonOwner } = createReadyFleet({ floorSlots: 4 });
        const slotBefore = nonOwner.world.tables.node.slot;
        const secondProcess = fleet.startProcess(nonOwner.vm, "127.0.0.1:2000");
        const thirdProcess = fleet.startProcess(nonOwner.vm, "127.0.0.1:2001");
        fleet.run(10_000);
        expect(nonOwner.world.tables.node.slot).toBe(slotBefore);
        const slots = [secondProcess, thirdProcess].map(process => process.world.tables.node.slot);
        expect(slots.filter(slot => slot !== undefined)).toHaveLength(1);
        expect(slots).not.toContain(slotBefore);
        expect(listKeys(fleet, "slots")).toHaveLength(4);
    });

    it("releases the slot and the buckets of a process that drained", () => {
        const { fleet, owner } = createReadyFleet();
        owner.runner.post({ kind: "drainRequested" });
        fleet.run(12_000);
        expect(owner.isStopped).toBe(true);
        expect(listKeys(fleet, "slots")).toHaveLength(2);
        expect(listKeys(fleet, "rate")).toHaveLength(0);
    });

    it("uses a slot when the store's answer to its acquisition was lost", () => {
        const fleet = createRateFleet({ hasher, seed: 3, size: 1, account });
        const { runTransaction } = fleet.store;
        fleet.store.runTransaction = (compare, ...rest) => {
            fleet.faults.shouldLoseStoreAnswers = compare[0]?.key.startsWith("slots/") ?? false;
            return runTransaction(compare, ...rest);
        };
        fleet.run(900);
        const node = fleet.processes[0]?.world.tables.node;
        expect([node?.slot, ...listKeys(fleet, "slots")]).toEqual([undefined, expect.any(String)]);
        fleet.faults.shouldLoseStoreAnswers = false;
        fleet.run(40_000);
        expect([`slots/${node?.slot}`]).toEqual(listKeys(fleet, "slots"));
    });

    it("stops using the floor of a paused process before another acquires its slot, whose floor starts empty", () => {
        const fleet = createRateFleet({
            hasher,
            seed: 5,
            size: 2,
            account,
            rates: { floorFraction: 1, floorSlots: 1, floorLeaseSeconds: 4 },
        });
        fleet.run(10_000);
        const holder = fleet.processes.find(process => process.world.tables.node.slot === 0) as RateProcess;
        const next = fleet.processes.find(process => process !== holder) as RateProcess;
        holder.pausedUntil = 60_000;
        while (next.world.tables.node.slot === undefined) {
            fleet.run(fleet.getNow() + 10);
        }
        fleet.sendRequest(next, 500, 500);
        fleet.run(59_999);
        expect(fleet.admissions).toEqual([]);
        fleet.sendRequest(holder, 5, 5);
        fleet.sendRequest(next, 500, 500);
        fleet.run(61_000);
        expect(fleet.admissions).toHaveLength(1);
        expect(fleet.refusals).toMatchObject([{ code: "rate_limited" }, { code: "too_large_for_burst" }]);
    });
});

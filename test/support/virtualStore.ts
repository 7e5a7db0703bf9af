/** Store stand-in in virtual time, for tests that run several processes. */
import { fleetPrefix } from "../../src/forward/codec/fleetRows";
import type { FleetRow } from "../../src/forward/events";
import { computePrefixEnd, type StoreCall } from "../../src/store";
import { createKeyValueStore } from "../../standins/keyValueStore";
import { runStoreCall } from "../../standins/storeCalls";

/** Delay of calls that are carried out late. */
const lateCallDelayMs = 2000;

/** Creates the store stand-in with calls that can be delayed and a log of the changes to the fleet's rows. */
export function createVirtualStore(getNow: () => number) {
    const store = createKeyValueStore({ getNow });
    const changes: FleetRow[] = [];
    const lateCalls: { readonly at: number; readonly call: StoreCall; }[] = [];
    store.addWatcher({
        key: fleetPrefix,
        end: computePrefixEnd(fleetPrefix),
        deliver: (_revision, delivered) => {
            changes.push(...delivered.map(({ row, isDeleted }) => ({
                key: row.key,
                value: isDeleted ? undefined : row.value,
                createRevision: row.createRevision,
                revision: row.modRevision,
            })));
        },
    }, 0);
    return {
        changes,
        listRows: (): FleetRow[] =>
            store.listRange(fleetPrefix, computePrefixEnd(fleetPrefix)).map((
                { key, value, createRevision, modRevision },
            ) => ({
                key,
                value,
                createRevision,
                revision: modRevision,
            })),
        /** Value of a key, of the fleet or another writer. */
        getValue: (key: string): string | undefined => store.listRange(key, undefined)[0]?.value,
        run: (call: StoreCall) => runStoreCall(store, call),
        runLater: (call: StoreCall) => {
            lateCalls.push({ at: getNow() + lateCallDelayMs, call });
        },
        /** Executes the delayed calls that are due and expires leases. */
        runDueCalls: () => {
            for (const { call } of lateCalls.filter(({ at }) => getNow() >= at)) {
                runStoreCall(store, call);
            }
            lateCalls.splice(0, lateCalls.length, ...lateCalls.filter(({ at }) => getNow() < at));
            store.expireLeases();
        },
    };
}

/** Division of a fleet into processes that read the store and processes that get its changes from a reader. */
import type { VmId } from "../../ids";
import type { Hasher } from "../../policy/prefix";
import { listByRendezvous } from "../../policy/rendezvous";

/** Up to this many processes, each reads the store itself. */
const maxDirectFleetSize = 9;
/** Processes that one reader serves; the number of calls to the store grows by one reader for each so many. */
const processesPerReader = 32;
/** Readers beyond those that the size needs, so that the loss of one leaves another. */
const spareReaders = 1;
const readerHashKey = "store-reader";

/** Number of processes that read the store in a fleet of `count` processes. */
export const computeReaderCount = (count: number): number =>
    count <= maxDirectFleetSize ? count : Math.ceil(count / processesPerReader) + spareReaders;

/**
 * Lists the readers of a fleet. All processes choose the same ones, and a member that joins or leaves changes at most
 * one of them, or one more when the number changes.
 *
 * @example
 * listReaders(hasher, ["a", "b"]); // ["a", "b"] in some order: a small fleet has no relays
 */
export const listReaders = (hasher: Hasher, vms: readonly VmId[]): readonly VmId[] =>
    listByRendezvous(hasher, readerHashKey, vms).slice(0, computeReaderCount(vms.length));

/** The reader from which the process gets changes, so that the readers share the fleet evenly. */
export const chooseReader = (hasher: Hasher, vm: VmId, readers: readonly VmId[]): VmId | undefined =>
    listByRendezvous(hasher, vm, readers)[0];

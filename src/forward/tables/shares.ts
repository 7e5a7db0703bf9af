/** Buckets of the accounts: this process's share of each account's rate. */
import type { AccountId, Millis } from "../../ids";

export interface ShareRow {
    /** Tokens that may still be used; a large request may take it below zero. */
    level: number;
    refilledAt: Millis;
}

export interface SharesTable {
    readonly rows: Map<AccountId, ShareRow>;
}

/** Creates an empty table. */
export const createSharesTable = (): SharesTable => ({ rows: new Map() });

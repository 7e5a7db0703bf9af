/** Usage of the accounts by this process in the last window. */
import type { AccountId } from "../../ids";
import type { UsageWindow } from "../policy/usageWindow";

export interface UsageWindowsTable {
    readonly rows: Map<AccountId, UsageWindow>;
}

/** Creates an empty table. */
export const createUsageWindowsTable = (): UsageWindowsTable => ({ rows: new Map() });

/** All tables of one process. */
import type { Settings } from "../config/settings";
import { createRetryBudget, type RetryBudget } from "../policy/retryBudget";
import { type BucketsTable, createBucketsTable } from "./buckets";
import { type ChangesTable, createChangesTable } from "./changes";
import { type ClaimsTable, createClaimsTable } from "./claims";
import { type ConfigurationTable, createConfigurationTable } from "./configuration";
import { createFloorsTable, type FloorsTable } from "./floors";
import { createGrantsTable, type GrantsTable } from "./grants";
import { createMembersTable, type MembersTable } from "./members";
import { createNodeRow, type NodeRow } from "./node";
import { createOrdersTable, type OrdersTable } from "./orders";
import { createPrefixesTable, type PrefixesTable } from "./prefixes";
import { createQueuesTable, type QueuesTable } from "./queues";
import { createRequestsTable, type RequestsTable } from "./requests";
import { createTargetsTable, type TargetsTable } from "./targets";

export interface Tables {
    readonly node: NodeRow;
    readonly configuration: ConfigurationTable;
    readonly changes: ChangesTable;
    readonly members: MembersTable;
    readonly targets: TargetsTable;
    readonly prefixes: PrefixesTable;
    readonly requests: RequestsTable;
    readonly floors: FloorsTable;
    readonly claims: ClaimsTable;
    readonly orders: OrdersTable;
    readonly retryBudget: RetryBudget;
    readonly queues: QueuesTable;
    readonly buckets: BucketsTable;
    readonly grants: GrantsTable;
}

/** Creates empty tables. */
export function createTables(settings: Settings): Tables {
    return {
        node: createNodeRow(),
        configuration: createConfigurationTable(),
        changes: createChangesTable(),
        members: createMembersTable(),
        targets: createTargetsTable(),
        prefixes: createPrefixesTable({ maxRows: settings.limits.prefixRows }),
        requests: createRequestsTable(),
        floors: createFloorsTable(),
        claims: createClaimsTable(),
        orders: createOrdersTable(),
        retryBudget: createRetryBudget(),
        queues: createQueuesTable(),
        buckets: createBucketsTable(),
        grants: createGrantsTable(),
    };
}

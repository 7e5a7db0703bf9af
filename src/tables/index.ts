/** All tables of one process. */
import type { Settings } from "../config/settings";
import { type BucketsTable, createBucketsTable } from "./buckets";
import { type ConfigurationTable, createConfigurationTable } from "./configuration";
import { createFloorsTable, type FloorsTable } from "./floors";
import { createGrantsTable, type GrantsTable } from "./grants";
import { createMembersTable, type MembersTable } from "./members";
import { createNodeRow, type NodeRow } from "./node";
import { createPrefixesTable, type PrefixesTable } from "./prefixes";
import { createRequestsTable, type RequestsTable } from "./requests";
import { createTargetsTable, type TargetsTable } from "./targets";

export interface Tables {
    readonly node: NodeRow;
    readonly configuration: ConfigurationTable;
    readonly members: MembersTable;
    readonly targets: TargetsTable;
    readonly prefixes: PrefixesTable;
    readonly requests: RequestsTable;
    readonly floors: FloorsTable;
    readonly buckets: BucketsTable;
    readonly grants: GrantsTable;
}

/** Creates empty tables. */
export function createTables(settings: Settings): Tables {
    return {
        node: createNodeRow(),
        configuration: createConfigurationTable(),
        members: createMembersTable(),
        targets: createTargetsTable(),
        prefixes: createPrefixesTable({ maxRows: settings.limits.prefixRows }),
        requests: createRequestsTable(),
        floors: createFloorsTable(),
        buckets: createBucketsTable(),
        grants: createGrantsTable(),
    };
}

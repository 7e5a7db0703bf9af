/** All tables of one process in the forwarding mode. */
import type { RetryBudget } from "../../policy/retryBudget";
import type { ServiceId } from "../ids";
import type { UsageWindow } from "../policy/usageWindow";
import { type AnsweredPartsTable, createAnsweredPartsTable } from "./answeredParts";
import { type CachedPartsTable, createCachedPartsTable } from "./cachedParts";
import { createForwardConfigurationTable, type ForwardConfigurationTable } from "./configuration";
import { type ConfigurationCopiesTable, createConfigurationCopiesTable } from "./configurationCopies";
import { type ConfigurationDoubtsTable, createConfigurationDoubtsTable } from "./configurationDoubts";
import { type CrashesTable, createCrashesTable } from "./crashes";
import { createDeparturesTable, type DeparturesTable } from "./departures";
import { createForwardMembersTable, type ForwardMembersTable } from "./members";
import { createForwardNodeRow, type ForwardNodeRow } from "./node";
import { createPeerLoadsTable, type PeerLoadsTable } from "./peerLoads";
import { createPeersTable, type PeersTable } from "./peers";
import { createQuarantineTable, type QuarantineTable } from "./quarantine";
import { createForwardRequestsTable, type ForwardRequestsTable } from "./requests";
import { createRolloutsTable, type RolloutsTable } from "./rollouts";
import { createServiceRolloutsTable, type ServiceRolloutsTable } from "./serviceRollouts";
import { createSharedPartsTable, type SharedPartsTable } from "./sharedParts";
import { createSlotUseTable, type SlotUseTable } from "./slotUse";
import { createStoreRelayTable, type StoreRelayTable } from "./storeRelay";
import { createTargetOutcomesTable, type TargetOutcomesTable } from "./targetOutcomes";
import { createForwardTargetsTable, type ForwardTargetsTable } from "./targets";
import { createTransferDelaysTable, type TransferDelaysTable } from "./transferDelays";
import { createUndecodableValuesTable, type UndecodableValuesTable } from "./undecodableValues";
import { createUsageSurgesTable, type UsageSurgesTable } from "./usageSurges";
import { createUsageWindowsTable, type UsageWindowsTable } from "./usageWindows";

export interface ForwardTables {
    readonly node: ForwardNodeRow;
    readonly configuration: ForwardConfigurationTable;
    readonly configurationCopies: ConfigurationCopiesTable;
    readonly configurationDoubts: ConfigurationDoubtsTable;
    readonly members: ForwardMembersTable;
    readonly targets: ForwardTargetsTable;
    readonly departures: DeparturesTable;
    readonly peers: PeersTable;
    readonly peerLoads: PeerLoadsTable;
    readonly requests: ForwardRequestsTable;
    readonly usageWindows: UsageWindowsTable;
    readonly usageSurges: UsageSurgesTable;
    readonly cachedParts: CachedPartsTable;
    readonly sharedParts: SharedPartsTable;
    readonly crashes: CrashesTable;
    readonly answeredParts: AnsweredPartsTable;
    readonly quarantine: QuarantineTable;
    readonly rollouts: RolloutsTable;
    readonly serviceRollouts: ServiceRolloutsTable;
    readonly storeRelay: StoreRelayTable;
    readonly undecodableValues: UndecodableValuesTable;
    readonly slotUse: SlotUseTable;
    readonly targetOutcomes: TargetOutcomesTable;
    readonly transferDelays: TransferDelaysTable;
    readonly retryBudgets: Map<ServiceId, RetryBudget>;
    /** Requests of this process by service, for its share in the limits of targets. */
    readonly serviceLoads: Map<ServiceId, UsageWindow>;
}

/** Creates empty tables. */
export function createForwardTables(): ForwardTables {
    return {
        node: createForwardNodeRow(),
        configuration: createForwardConfigurationTable(),
        configurationCopies: createConfigurationCopiesTable(),
        configurationDoubts: createConfigurationDoubtsTable(),
        members: createForwardMembersTable(),
        targets: createForwardTargetsTable(),
        departures: createDeparturesTable(),
        peers: createPeersTable(),
        peerLoads: createPeerLoadsTable(),
        requests: createForwardRequestsTable(),
        usageWindows: createUsageWindowsTable(),
        usageSurges: createUsageSurgesTable(),
        cachedParts: createCachedPartsTable(),
        sharedParts: createSharedPartsTable(),
        crashes: createCrashesTable(),
        answeredParts: createAnsweredPartsTable(),
        quarantine: createQuarantineTable(),
        rollouts: createRolloutsTable(),
        serviceRollouts: createServiceRolloutsTable(),
        storeRelay: createStoreRelayTable(),
        undecodableValues: createUndecodableValuesTable(),
        slotUse: createSlotUseTable(),
        targetOutcomes: createTargetOutcomesTable(),
        transferDelays: createTransferDelaysTable(),
        retryBudgets: new Map(),
        serviceLoads: new Map(),
    };
}

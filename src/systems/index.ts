/** The systems in the order in which they run in each tick. */
import type { System } from "../world";
import { acquireSlot } from "./acquireSlot";
import { admitRequests } from "./admitRequests";
import { answerEntries } from "./answerEntries";
import { answerOperators } from "./answerOperators";
import { applyConfiguration } from "./applyConfiguration";
import { applyPeerConfiguration } from "./applyPeerConfiguration";
import { claimRequests } from "./claimRequests";
import { confirmChanges } from "./confirmChanges";
import { drainNode } from "./drainNode";
import { exchangeWithPeers } from "./exchangeWithPeers";
import { expireClaims } from "./expireClaims";
import { expireRequests } from "./expireRequests";
import { followAttempts } from "./followAttempts";
import { grantTokens } from "./grantTokens";
import { placeModels } from "./placeModels";
import { refuseOverload } from "./refuseOverload";
import { reserveTokens } from "./reserveTokens";
import { routeRequests } from "./routeRequests";
import { updateBuckets } from "./updateBuckets";
import { updateMembership } from "./updateMembership";
import { updateTargets } from "./updateTargets";
import { writeConfiguration } from "./writeConfiguration";

export const systems: readonly System[] = [
    applyPeerConfiguration,
    applyConfiguration,
    updateMembership,
    acquireSlot,
    updateBuckets,
    updateTargets,
    followAttempts,
    expireRequests,
    admitRequests,
    reserveTokens,
    grantTokens,
    refuseOverload,
    claimRequests,
    expireClaims,
    routeRequests,
    placeModels,
    answerEntries,
    answerOperators,
    writeConfiguration,
    confirmChanges,
    exchangeWithPeers,
    drainNode,
];

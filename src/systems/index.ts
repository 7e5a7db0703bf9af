/** The systems in the order in which they run in each tick. */
import type { System } from "../world";
import { admitRequests } from "./admitRequests";
import { answerEntries } from "./answerEntries";
import { applyConfiguration } from "./applyConfiguration";
import { claimSlot } from "./claimSlot";
import { drainNode } from "./drainNode";
import { exchangeWithPeers } from "./exchangeWithPeers";
import { expireRequests } from "./expireRequests";
import { followAttempts } from "./followAttempts";
import { grantTokens } from "./grantTokens";
import { reserveTokens } from "./reserveTokens";
import { routeRequests } from "./routeRequests";
import { updateBuckets } from "./updateBuckets";
import { updateMembership } from "./updateMembership";
import { updateTargets } from "./updateTargets";

export const systems: readonly System[] = [
    applyConfiguration,
    updateMembership,
    claimSlot,
    updateBuckets,
    updateTargets,
    followAttempts,
    expireRequests,
    admitRequests,
    reserveTokens,
    grantTokens,
    routeRequests,
    answerEntries,
    exchangeWithPeers,
    drainNode,
];

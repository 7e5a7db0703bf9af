/** The systems of the forwarding mode in the order in which they run in each tick. */
import type { ForwardSystem } from "../world";
import { admitRequests } from "./admitRequests";
import { answerAddresses } from "./answerAddresses";
import { applyPublished } from "./applyPublished";
import { checkConfigurations } from "./checkConfigurations";
import { drainNode } from "./drainNode";
import { exchangeWithPeers } from "./exchangeWithPeers";
import { expireCrashes } from "./expireCrashes";
import { expireRequests } from "./expireRequests";
import { followAttempts } from "./followAttempts";
import { followConfigurationCopies } from "./followConfigurationCopies";
import { followCrashes } from "./followCrashes";
import { followParts } from "./followParts";
import { followServiceRollouts } from "./followServiceRollouts";
import { placeWeights } from "./placeWeights";
import { readValuesAgain } from "./readValuesAgain";
import { recordServiceAnswers } from "./recordServiceAnswers";
import { recordSurges } from "./recordSurges";
import { relayStore } from "./relayStore";
import { resumeOnOtherEngines } from "./resumeOnOtherEngines";
import { routeRequests } from "./routeRequests";
import { settleServiceRollouts } from "./settleServiceRollouts";
import { recordSlotUse } from "./slotUse";
import { updateMembership } from "./updateMembership";
import { updateQuarantine } from "./updateQuarantine";

export const forwardSystems: readonly ForwardSystem[] = [
    applyPublished,
    followServiceRollouts,
    readValuesAgain,
    updateMembership,
    relayStore,
    exchangeWithPeers,
    followConfigurationCopies,
    checkConfigurations,
    recordSlotUse,
    followParts,
    followCrashes,
    recordServiceAnswers,
    followAttempts,
    updateQuarantine,
    expireCrashes,
    resumeOnOtherEngines,
    expireRequests,
    admitRequests,
    routeRequests,
    recordSurges,
    placeWeights,
    settleServiceRollouts,
    answerAddresses,
    drainNode,
];

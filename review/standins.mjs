// The project's own stand-ins that the scripts of the review start; `build.sh` bundles them.
export {
    apiKey,
    buildPlatformConfiguration,
    engineService,
    modelName,
    plainService,
} from "../standins/platformConfiguration.ts";
export { startPlatformServer } from "../standins/platformServer.ts";
export { startPlatformStore } from "../standins/platformStore.ts";

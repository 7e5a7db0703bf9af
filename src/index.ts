/** Public interface of marjoramvane as a library. */
export { type NodeOptions, type RunningNode, startNode } from "./adapters/node";
export { applyChange, computeChange, type ConfigurationChange } from "./config/change";
export { type ConfigurationDocument, type Fault, parseDocument } from "./config/document";
export { parseSettings, parseSettingsFile, type Settings } from "./config/settings";
export type { Refusal, RefusalBody, RefusalCode } from "./refusals";
export { computeVerdict, type Verdict } from "./verdict";

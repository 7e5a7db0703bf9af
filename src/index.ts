/** Public interface of marjoramvane as a library. */
export { type NodeOptions, type RunningNode, startNode } from "./adapters/node";
export { applyChange, computeChange, type ConfigurationChange } from "./config/change";
export { type ConfigurationDocument, type Fault, parseDocument } from "./config/document";
export { parseSettings, parseSettingsFile, type Settings } from "./config/settings";
export { type ForwardNodeOptions, type RunningForwardNode, startForwardNode } from "./forward/adapters/node";
export type { DirectoryPort, EnginePort, PlatformPorts, StorePort } from "./forward/ports";
export { type ForwardSettings, parseForwardSettings } from "./forward/settings";
export type { Refusal, RefusalBody, RefusalCode } from "./refusals";
export { computeVerdict, type Verdict } from "./verdict";

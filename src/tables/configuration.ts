/** The configuration in force and how far it has been confirmed. One row. */
import { type ConfigurationDocument, emptyDocument } from "../config/document";
import { type ConfigVersion, type Millis, toConfigVersion } from "../ids";
import type { Freshness } from "../policy/freshness";

export interface ConfigurationTable {
    /** 0 until a configuration is known. */
    readonly version: ConfigVersion;
    readonly document: ConfigurationDocument;
    /** Last time at which the store confirmed the head to this process. */
    confirmedAt: Millis | undefined;
    /** Freshest confirmation that a peer reported, in this process's time. */
    peerConfirmedAt: Millis | undefined;
    freshness: Freshness;
    /** True once the configuration was confirmed in this run of the process. */
    hasBeenFresh: boolean;
    /** Takes a document of a higher version; returns false and changes nothing for any other. */
    apply(version: ConfigVersion, document: ConfigurationDocument): boolean;
}

/** Creates the table with no configuration. */
export function createConfigurationTable(): ConfigurationTable {
    let version = toConfigVersion(0);
    let document = emptyDocument;
    return {
        get version() {
            return version;
        },
        get document() {
            return document;
        },
        confirmedAt: undefined,
        peerConfirmedAt: undefined,
        freshness: "unknown",
        hasBeenFresh: false,
        apply: (newVersion, newDocument) => {
            if (newVersion <= version) {
                return false;
            }
            version = newVersion;
            document = newDocument;
            return true;
        },
    };
}

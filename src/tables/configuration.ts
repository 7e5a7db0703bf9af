/** The active configuration and when it was last confirmed as current. One row. */
import { type ConfigurationDocument, emptyDocument } from "../config/document";
import { type ConfigVersion, type Millis, toConfigVersion } from "../ids";
import type { Freshness } from "../policy/freshness";

export interface ConfigurationTable {
    /** 0 until a configuration is known. */
    readonly version: ConfigVersion;
    readonly document: ConfigurationDocument;
    /** Time of the last confirmation of the head by the store to this process. */
    confirmedAt: Millis | undefined;
    /** Time of the latest confirmation reported by a peer, on the clock of this process. */
    peerConfirmedAt: Millis | undefined;
    freshness: Freshness;
    /** True once the configuration was confirmed since the process started. */
    hasBeenConfirmed: boolean;
    /** Replaces the document if the version is higher; otherwise changes nothing and returns false. */
    apply(version: ConfigVersion, document: ConfigurationDocument): boolean;
}

/** Creates the table without a configuration. */
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
        hasBeenConfirmed: false,
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

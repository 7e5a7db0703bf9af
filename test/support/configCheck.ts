/** Builds documents of both modes and runs the configuration check on them. */
import { readPlatformView } from "../../platform/configurationView";
import {
    checkDocument,
    type CheckReport,
    type DocumentMode,
    type DocumentReaders,
    readCompletionsView,
} from "../../src/configCheck/checkDocument";
import { parseFileBytes } from "../../src/configCheck/input";
import {
    buildPlatformConfiguration,
    buildPlatformRoute,
    engineService,
    plainService,
} from "../../standins/platformConfiguration";
import { hashKey } from "./fleet";

export type Values = Readonly<Record<string, unknown>>;

const readers: DocumentReaders = { serve: readCompletionsView, forward: readPlatformView };

/** A document of the completions mode in which the check finds nothing. */
export const buildServeDocument = (changes: Values = {}): Values => ({
    accounts: { shop: { rate: 1000, burst: 5000 } },
    operators: { [hashKey("key-2")]: { label: "amelia" } },
    keys: { [hashKey("key-1")]: { account: "shop", label: "till" } },
    models: { copywriter: {} },
    routes: { catalogue: { kind: "model", model: "copywriter", version: "v1" } },
    targets: {
        "engine-0": {
            kind: "engine",
            address: "127.0.0.1:8000",
            dataCentre: "dc-0",
            model: "copywriter",
            version: "v1",
        },
    },
    ...changes,
});

/** A document of the forwarding mode in which the check finds nothing. */
const buildForwardDocument = (changes: Values = {}): Values =>
    buildPlatformConfiguration({
        version: 1,
        routes: [
            buildPlatformRoute("lookup", "idempotent", plainService),
            buildPlatformRoute("engines", "streaming", engineService, { "max-attempts": 1 }),
        ],
        ...changes,
    });

export const buildForwardText = (changes: Values = {}): string => JSON.stringify(buildForwardDocument(changes));

const builders: Readonly<Record<DocumentMode, (changes: Values) => Values>> = {
    serve: buildServeDocument,
    forward: buildForwardDocument,
};

/** Checks a text, and compares it with the document that has the changes `against`. */
export function checkText(mode: DocumentMode, text: string, against?: Values): CheckReport {
    const content = parseFileBytes("document.json", Buffer.from(text)).unwrap();
    const read = readers[mode];
    return checkDocument({ content, mode, read, against: against && read(builders[mode](against)).unwrap() });
}

export const checkValue = (mode: DocumentMode, changes: Values, against?: Values): CheckReport =>
    checkText(mode, JSON.stringify(builders[mode](changes)), against);

/** Compares two documents that differ from the usual one; the later one has the higher version. */
export const checkDifferences = (mode: DocumentMode, before: Values, after: Values): CheckReport =>
    checkValue(mode, mode === "forward" ? { ...after, version: 2 } : after, before);

export const listCodes = ({ findings }: CheckReport): readonly string[] => findings.map(({ code }) => code);

/** Processor time of an operation, which depends less on other load than the time that passes. */
export function measureCpuMs(run: () => void): number {
    const before = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1000;
}

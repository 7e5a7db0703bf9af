/** Runs a check of one file, and the comparison with another document. */
import { Err, Ok, type Result } from "ts-results";
import { type Fault, formatPath, parseDocument } from "../config/document";
import { type FindingCode, readingKinds, runChecks } from "./checks";
import { buildCompletionsView } from "./completionsView";
import { listDifferences, listVersionFaults } from "./differences";
import type { Difference, Finding, Occurrence, Place, Position } from "./finding";
import type { FileContent } from "./input";
import { findPositions } from "./jsonText";
import { type CheckSettings, defaultCheckSettings } from "./limits";
import type { ConfigView } from "./view";

/** Names of the modes are those of the commands that run them. */
export const documentModes = ["serve", "forward"] as const;
export type DocumentMode = (typeof documentModes)[number];

/** Reads parsed documents with the processes' own code. */
export type DocumentReaders = Readonly<
    Record<DocumentMode, (value: unknown) => Result<ConfigView, readonly Fault[]>>
>;

/** Reads a document of the completions mode as `config put` and the processes do. */
export function readCompletionsView(value: unknown): Result<ConfigView, readonly Fault[]> {
    const parsed = parseDocument(value);
    return parsed.ok ? Ok(buildCompletionsView(parsed.val)) : Err(parsed.val);
}

/** A finding or difference as it is reported, with its place in the file. */
export type Reported<Item> = Omit<Item, "place"> & { readonly path: string; readonly position?: Position; };

export interface CheckReport {
    readonly mode: DocumentMode;
    /** The first findings, errors before the others. */
    readonly findings: readonly Reported<Finding<FindingCode>>[];
    readonly findingCount: number;
    /** Undefined without a document to compare with, or when the file has a value that the processes refuse. */
    readonly differences: readonly Reported<Difference>[] | undefined;
    readonly differenceCount: number;
}

/** Bound of the findings and of the differences that are reported in full. */
const maxReported = 1000;
/** Names in a document have no bound of their own. */
const maxMessageLength = 400;
const maxPathLength = 200;

const toClipped = (text: string, max: number): string => (text.length <= max ? text : `${text.slice(0, max)}...`);

const severityOrder = { error: 0, warning: 1, notice: 2 } as const;

/** Digits of a hash that a path shows. */
const shownHashDigits = 8;
const shownHash = new RegExp(`^[0-9a-f]{${shownHashDigits}}$`);

/** Finds the field that a path begins with, and the length of its name in the path. Names may contain dots. */
function findField(container: object, path: string): readonly [name: string, length: number] | undefined {
    for (let end = path.indexOf("."); end >= 0; end = path.indexOf(".", end + 1)) {
        if (Object.hasOwn(container, path.slice(0, end))) {
            return [path.slice(0, end), end];
        }
    }
    return Object.hasOwn(container, path) ? [path, path.length] : undefined;
}

type FindPlace = (path: string) => Place;

/** Creates a function that resolves the path of a fault to the place of the nearest value. */
function createPlaceFinder(value: unknown): FindPlace {
    const namesByHash = new Map<object, ReadonlyMap<string, string>>();
    const findByHash = (container: object, path: string): readonly [name: string, length: number] | undefined => {
        const [hash = ""] = path.split(".", 1);
        if (!shownHash.test(hash)) {
            return undefined;
        }
        const names = namesByHash.get(container)
            ?? new Map(Object.keys(container).map(name => [name.slice(0, shownHashDigits), name]));
        namesByHash.set(container, names);
        const name = names.get(hash);
        return name === undefined ? undefined : [name, hash.length];
    };
    return path => {
        const place: string[] = [];
        let inner = value;
        let rest = path.slice(0, maxPathLength);
        while (rest !== "" && typeof inner === "object" && inner !== null) {
            const [name, length] = findField(inner, rest) ?? findByHash(inner, rest) ?? [];
            if (name === undefined || length === undefined) {
                break;
            }
            place.push(name);
            rest = rest.slice(length + 1);
            inner = (inner as Readonly<Record<string, unknown>>)[name];
        }
        return place;
    };
}

/** Findings for values that the processes refuse; only those that are reported are built. */
function buildFaultFindings({ value }: FileContent, faults: readonly Fault[]) {
    const find = createPlaceFinder(value);
    return faults.slice(0, maxReported).map(({ path, message }) => ({
        ...buildFinding("invalid-value", { place: find(path), message }),
        path,
    }));
}

interface Located {
    readonly path: string;
    readonly place: Place;
    readonly message: string;
}

function buildReported<Item extends Located>(
    { text, isToml }: FileContent,
    items: readonly Item[],
): readonly Reported<Item>[] {
    const shown = items.slice(0, maxReported);
    const positions = isToml ? [] : findPositions(text, shown.map(({ place }) => place));
    return shown.map(({ place: _place, ...item }, index) => ({
        ...item,
        path: toClipped(item.path, maxPathLength),
        message: toClipped(item.message, maxMessageLength),
        ...(positions[index] ? { position: positions[index] } : {}),
    } as unknown as Reported<Item>));
}

const addPath = <Item extends Occurrence>(items: readonly Item[]): readonly (Item & Located)[] =>
    items.map(item => ({ ...item, path: formatPath(item.place) }));

const buildFinding = (code: keyof typeof readingKinds, occurrence: Occurrence): Finding<FindingCode> => ({
    ...occurrence,
    code,
    ...readingKinds[code],
});

export interface CheckInput {
    readonly content: FileContent;
    readonly mode: DocumentMode;
    readonly read: (value: unknown) => Result<ConfigView, readonly Fault[]>;
    /** Document to compare with. */
    readonly against?: ConfigView | undefined;
    readonly settings?: CheckSettings;
}

/**
 * Checks a parsed file. Values that the processes refuse end the check with these findings, as they leave no document.
 *
 * @example
 * checkDocument({ content, mode: "serve", read: readCompletionsView }).findingCount; // 0
 */
export function checkDocument(
    { content, mode, read, against, settings = defaultCheckSettings }: CheckInput,
): CheckReport {
    const view = read(content.value);
    const repeated = content.repeatedNames.map(place =>
        buildFinding("repeated-name", { place, message: "the field occurs before in the same object" })
    );
    const faults = view.ok ? [] : view.val;
    const versionFaults = view.ok && against ? listVersionFaults(view.val, against) : [];
    const found = [
        ...repeated,
        ...versionFaults.map(occurrence => buildFinding("version-not-newer", occurrence)),
        ...(view.ok ? runChecks(view.val, settings) : []),
    ];
    const findings = [...buildFaultFindings(content, faults), ...addPath(found)]
        .sort((left, right) => severityOrder[left.severity] - severityOrder[right.severity]);
    const differences = view.ok && against ? addPath(listDifferences(view.val, against)) : undefined;
    return {
        mode,
        findings: buildReported(content, findings),
        findingCount: faults.length + found.length,
        differences: differences && buildReported(content, differences),
        differenceCount: differences?.length ?? 0,
    };
}

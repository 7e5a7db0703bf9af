/** Walks over JSON text with the positions of its values, which `JSON.parse` does not tell. */
import type { Place, Position } from "./finding";

/** Called for each value; names of fields are decoded. The walk ends when `startValue` returns false. */
interface JsonVisitor {
    readonly startValue: (name: string | number | undefined, offset: number) => boolean;
    readonly endValue: () => void;
}

interface OpenContainer {
    readonly isList: boolean;
    index: number;
    /** Name of the field whose value comes next. */
    field: string | undefined;
    fieldOffset: number;
}

const isSpace = (char: string): boolean => char === " " || char === "\n" || char === "\r" || char === "\t";

function findStringEnd(text: string, start: number): number {
    let offset = start + 1;
    while (offset < text.length && text[offset] !== "\"") {
        offset += text[offset] === "\\" ? 2 : 1;
    }
    return offset + 1;
}

const structure = new Set(["{", "}", "[", "]", ",", ":", "\""]);

function findScalarEnd(text: string, start: number): number {
    let offset = start;
    while (offset < text.length && !structure.has(text[offset] as string) && !isSpace(text[offset] as string)) {
        offset += 1;
    }
    return offset;
}

function decodeName(text: string): string {
    try {
        return String(JSON.parse(text));
    }
    catch {
        return text;
    }
}

/**
 * Walks over a text without checking that it is JSON, which is the task of `JSON.parse`. Takes no recursion, so that
 * nesting costs no stack.
 */
function readJsonValues(text: string, { startValue, endValue }: JsonVisitor): void {
    const open: OpenContainer[] = [];
    let offset = 0;
    const startAt = (): boolean => {
        const parent = open.at(-1);
        return parent === undefined || parent.isList
            ? startValue(parent?.index, offset)
            : startValue(parent.field ?? "", parent.fieldOffset);
    };
    while (offset < text.length) {
        const char = text[offset] as string;
        const parent = open.at(-1);
        if (isSpace(char) || char === ":") {
            offset += 1;
        }
        else if (char === ",") {
            if (parent) {
                parent.index += 1;
                parent.field = undefined;
            }
            offset += 1;
        }
        else if (char === "}" || char === "]") {
            if (open.pop()) {
                endValue();
            }
            offset += 1;
        }
        else if (char === "\"" && parent && !parent.isList && parent.field === undefined) {
            const end = findStringEnd(text, offset);
            parent.field = decodeName(text.slice(offset, end));
            parent.fieldOffset = offset;
            offset = end;
        }
        else if (!startAt()) {
            return;
        }
        else if (char === "{" || char === "[") {
            open.push({ isList: char === "[", index: 0, field: undefined, fieldOffset: offset });
            offset += 1;
        }
        else {
            endValue();
            offset = char === "\"" ? findStringEnd(text, offset) : findScalarEnd(text, offset);
        }
    }
}

export interface JsonStructure {
    /** True when the text exceeds a bound; the walk ended there. */
    readonly isTooDeep: boolean;
    readonly hasTooManyValues: boolean;
    /** Fields whose name occurs earlier in the same object; the parser keeps only the last one. */
    readonly repeatedNames: readonly Place[];
}

/**
 * Checks the structure of a JSON text before it is parsed.
 *
 * @example
 * checkJsonStructure("[[[]]]", { maxDepth: 2, maxValues: 100 }).isTooDeep; // true
 */
export function checkJsonStructure(
    text: string,
    { maxDepth, maxValues }: { readonly maxDepth: number; readonly maxValues: number; },
): JsonStructure {
    const place: (string | number)[] = [];
    const namesByDepth: (Set<string> | undefined)[] = [];
    const repeatedNames: Place[] = [];
    let depth = 0;
    let count = 0;
    readJsonValues(text, {
        startValue: name => {
            count += 1;
            depth += 1;
            if (name !== undefined) {
                place.push(name);
            }
            namesByDepth[depth] = undefined;
            if (typeof name === "string") {
                const siblings = namesByDepth[depth - 1] ??= new Set();
                if (siblings.has(name)) {
                    repeatedNames.push([...place]);
                }
                siblings.add(name);
            }
            return depth <= maxDepth && count <= maxValues;
        },
        endValue: () => {
            depth -= 1;
            place.pop();
        },
    });
    return { isTooDeep: depth > maxDepth, hasTooManyValues: count > maxValues, repeatedNames };
}

interface PlaceNode {
    readonly children: Map<string, PlaceNode>;
    offset: number | undefined;
}

const createPlaceNode = (): PlaceNode => ({ children: new Map(), offset: undefined });

/** Offsets of lines, to turn an offset into a line and a column. */
function listLineStarts(text: string): readonly number[] {
    const starts = [0];
    for (let offset = text.indexOf("\n"); offset >= 0; offset = text.indexOf("\n", offset + 1)) {
        starts.push(offset + 1);
    }
    return starts;
}

function toPosition(lineStarts: readonly number[], offset: number): Position {
    let low = 0;
    let high = lineStarts.length;
    while (high - low > 1) {
        const middle = Math.floor((low + high) / 2);
        if ((lineStarts[middle] as number) <= offset) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return { line: low + 1, column: offset - (lineStarts[low] as number) + 1 };
}

/**
 * Finds the positions of places in a JSON text. A place that the text does not have gets the position of the nearest
 * value around it.
 *
 * @example
 * findPositions('{"routes":[]}', [["routes", 0]]); // [{ line: 1, column: 2 }]
 */
export function findPositions(text: string, places: readonly Place[]): readonly Position[] {
    const root = createPlaceNode();
    const nodesByPlace = places.map(place => {
        const nodes = [root];
        for (const name of place) {
            const parent = nodes.at(-1) as PlaceNode;
            const node = parent.children.get(String(name)) ?? createPlaceNode();
            parent.children.set(String(name), node);
            nodes.push(node);
        }
        return nodes;
    });
    const path: (PlaceNode | undefined)[] = [];
    readJsonValues(text, {
        startValue: (name, offset) => {
            const node = name === undefined ? root : path.at(-1)?.children.get(String(name));
            if (node) {
                node.offset = offset;
            }
            path.push(node);
            return true;
        },
        endValue: () => {
            path.pop();
        },
    });
    const lineStarts = listLineStarts(text);
    return nodesByPlace.map(nodes =>
        toPosition(lineStarts, nodes.findLast(({ offset }) => offset !== undefined)?.offset ?? 0)
    );
}

/** Findings and differences of a configuration check, independent of the mode and of the output format. */

/** Path of a value in the file: names of fields and indexes of lists. */
export type Place = readonly (string | number)[];

/**
 * `error`: the processes refuse the document, or a part of it cannot work. `warning`: a part has no effect or works
 * against another one. `notice`: likely not what was meant.
 */
export type Severity = "error" | "warning" | "notice";

/** What one check found at one place. */
export interface Occurrence {
    readonly place: Place;
    readonly message: string;
}

export interface Finding<Code extends string = string> extends Occurrence {
    readonly code: Code;
    readonly severity: Severity;
    readonly hint: string;
}

/**
 * Effect of a difference on callers: `narrows` refuses or ends more requests than before, `widens` fewer, `changes`
 * alters how requests are served.
 */
export type Impact = "narrows" | "widens" | "changes";

/** One difference from the document in force, described by its effect on callers. */
export interface Difference extends Occurrence {
    readonly code: string;
    readonly impact: Impact;
}

/** Line and column of a value, both from 1. */
export interface Position {
    readonly line: number;
    readonly column: number;
}

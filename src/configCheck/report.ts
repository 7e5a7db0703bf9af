/** Text form of a check's report. */
import type { CheckReport, Reported } from "./checkDocument";
import type { Difference, Finding } from "./finding";

/** Replaces characters that could control a terminal or break a line; names in a document may contain any. */
export const toPrintable = (text: string): string =>
    text.replace(/[\p{C}\p{Zl}\p{Zp}]/gu, char => `\\u${(char.codePointAt(0) ?? 0).toString(16).padStart(4, "0")}`);

const formatPlace = (file: string, { path, position }: Reported<{ readonly message: string; }>): string =>
    position ? `${file}:${position.line}:${position.column}: ${path}` : `${file}: ${path}`;

const formatFinding = (file: string, finding: Reported<Finding>): readonly string[] => [
    `${formatPlace(file, finding)}: ${finding.severity} ${finding.code}: ${finding.message}`,
    `    ${finding.hint}`,
];

const formatDifference = (file: string, difference: Reported<Difference>): string =>
    `${formatPlace(file, difference)}: ${difference.impact} ${difference.code}: ${difference.message}`;

const formatCount = (count: number, noun: string): string =>
    `${count === 0 ? "no" : count} ${noun}${count === 1 ? "" : "s"}`;

const formatOmitted = (count: number, shown: number, noun: string): readonly string[] =>
    count > shown ? [`${count - shown} more ${noun} are not shown`] : [];

/**
 * Formats a report: one line for each finding with its hint below, one for each difference, and a summary.
 *
 * @example
 * formatReport("document.json", report); // "document.json: no findings (document of `serve`)\n"
 */
export function formatReport(
    file: string,
    { mode, findings, findingCount, differences, differenceCount }: CheckReport,
): string {
    const counts = [
        formatCount(findingCount, "finding"),
        ...(differences ? [formatCount(differenceCount, "difference")] : []),
    ];
    const lines = [
        ...findings.flatMap(finding => formatFinding(file, finding)),
        ...formatOmitted(findingCount, findings.length, "findings"),
        ...(differences ?? []).map(difference => formatDifference(file, difference)),
        ...formatOmitted(differenceCount, differences?.length ?? 0, "differences"),
        `${file}: ${counts.join(", ")} (document of \`${mode}\`)`,
    ];
    return lines.map(line => `${toPrintable(line)}\n`).join("");
}

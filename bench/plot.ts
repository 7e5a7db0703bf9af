/** SVG plot of the policy results: hit rate against the 99th percentile of time to first token, a panel per case. */
import { deploymentNames, faultCaseNames, policyNames, type PolicyResult } from "./policyBenchmark";

const panelWidth = 260;
const panelHeight = 200;
const margin = 34;
const colours = ["#999999", "#666666", "#1f77b4", "#9467bd", "#2ca02c", "#17becf", "#d62728"];
/** Range of the logarithmic axis in milliseconds. */
const axisMs = [50, 100_000] as const;

function computeX(milliseconds: number): number {
    const [from, to] = axisMs;
    const share = Math.log(Math.max(from, milliseconds) / from) / Math.log(to / from);
    return margin + Math.min(1, share) * (panelWidth - 2 * margin);
}

const computeY = (hitRate: number): number => panelHeight - margin - hitRate * (panelHeight - 2 * margin);

function formatPanel(title: string, results: readonly PolicyResult[], column: number, row: number): string {
    const points = results.map(({ policy, figures }) => {
        const colour = colours[policyNames.indexOf(policy)] ?? "black";
        const x = computeX(figures.firstTokenMsP99).toFixed(1);
        return `<circle cx="${x}" cy="${computeY(figures.hitRate).toFixed(1)}" r="4" fill="${colour}"/>`;
    });
    const [bottom, right] = [panelHeight - margin, panelWidth - margin];
    return [
        `<g transform="translate(${column * panelWidth} ${row * panelHeight})">`,
        `<text x="${margin}" y="20" font-weight="bold">${title}</text>`,
        `<path d="M${margin} ${margin}V${bottom}H${right}" fill="none" stroke="black"/>`,
        `<text x="${margin}" y="${bottom + 14}">${axisMs[0]} ms</text>`,
        `<text x="${right}" y="${bottom + 14}" text-anchor="end">${axisMs[1] / 1000} s</text>`,
        `<text x="4" y="${margin + 4}">100%</text><text x="4" y="${bottom}">0%</text>`,
        ...points,
        "</g>",
    ].join("\n");
}

export function formatPlot(results: readonly PolicyResult[]): string {
    const defaultWeightResults = results.filter(result => result.affinityWeight === undefined);
    const panels = deploymentNames.flatMap((deployment, row) =>
        faultCaseNames.map((fault, column) =>
            formatPanel(
                `${deployment}, ${fault}`,
                defaultWeightResults.filter(result => result.deployment === deployment && result.fault === fault),
                column,
                row,
            )
        )
    );
    const height = deploymentNames.length * panelHeight + 40;
    const legend = policyNames.map((name, index) =>
        `<text x="${10 + index * 180}" y="${height - 12}" fill="${colours[index] ?? "black"}">${name}</text>`
    );
    const width = faultCaseNames.length * panelWidth;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
        `<rect width="100%" height="100%" fill="white"/>`,
        ...panels,
        ...legend,
        "</svg>",
        "",
    ].join("\n");
}

/** The two deployments at their present sizes: targets, accounts, keys, and the configuration document. */
import { createHash } from "node:crypto";
import { type Engine, startEngine } from "./engine";

export interface AccountPlan {
    readonly account: string;
    readonly key: string;
    /** Tokens a second. */
    readonly rate: number;
    readonly burst: number;
    /** Requests a second that the load sends. */
    readonly requestsPerSecond: number;
}

export interface DeploymentPlan {
    readonly name: "sulina" | "authority";
    readonly route: string;
    readonly model: string;
    readonly service: string;
    readonly engines: number;
    readonly services: number;
    readonly affinityWeight: number;
    /** Cache blocks of the shared document at the start of a prompt. */
    readonly documentBlocks: number;
    /** Cache blocks of the part that follows the document, for one shop or case. */
    readonly caseBlocks: number;
    readonly documents: number;
    readonly casesPerDocument: number;
    readonly accounts: readonly AccountPlan[];
}

export const blockTokens = 4096;
export const bytesPerToken = 4;

function createAccounts(prefix: string, requestsPerSecond: number): AccountPlan[] {
    const shares = [0.4, 0.3, 0.1, 0.1, 0.1];
    return shares.map((share, index) => {
        // The last account sends three times its rate.
        const isOverRate = index === shares.length - 1;
        const sentPerSecond = requestsPerSecond * share * (isOverRate ? 3 : 1);
        const rate = Math.ceil(requestsPerSecond * share * 22_000 * (isOverRate ? 1 : 1.6));
        return {
            account: `${prefix}-${index + 1}`,
            key: `sk-${prefix}-${index + 1}-0123456789`,
            rate,
            burst: Math.max(200_000, rate * 2),
            requestsPerSecond: sentPerSecond,
        };
    });
}

export const deployments: readonly DeploymentPlan[] = [
    {
        name: "sulina",
        route: "copywriter",
        model: "copy-model",
        service: "print-orders",
        engines: 6,
        services: 3,
        affinityWeight: 1,
        documentBlocks: 3,
        caseBlocks: 1,
        documents: 6,
        casesPerDocument: 8,
        accounts: createAccounts("shop", 20),
    },
    {
        name: "authority",
        route: "eligibility",
        model: "referral-model",
        service: "frame-issues",
        engines: 8,
        services: 3,
        affinityWeight: 1.5,
        documentBlocks: 2,
        caseBlocks: 3,
        documents: 4,
        casesPerDocument: 12,
        accounts: createAccounts("desk", 20),
    },
];

/** Operator key in the configurations of the stand-ins. */
export const operatorKey = "op-stand-in-0123456789";

export const hashKey = (key: string): string => createHash("sha256").update(key).digest("hex");

const modelVersion = "v1";

/** Starts the engines of a deployment. */
export function startEngines(plan: DeploymentPlan): Promise<Engine[]> {
    return Promise.all(
        Array.from({ length: plan.engines }, () =>
            startEngine({
                model: plan.model,
                version: modelVersion,
                slots: 16,
                maxBlocks: 40,
                blockTokens,
                bytesPerToken,
                prefillTokensPerSecond: 60_000,
                decodeMs: 10,
            })),
    );
}

/** Builds the entries of one deployment for the configuration document. */
export function buildConfigurationEntries(
    plan: DeploymentPlan,
    engines: readonly string[],
    services: readonly string[],
): Record<string, Record<string, unknown>> {
    const toDataCentre = (index: number): string => `${plan.name}-dc-${index % 3}`;
    const names = plan.accounts.map(({ account }) => account);
    return {
        accounts: Object.fromEntries(plan.accounts.map(({ account, rate, burst }) => [account, { rate, burst }])),
        keys: Object.fromEntries(plan.accounts.map(({ account, key }) => [hashKey(key), { account, label: account }])),
        models: { [plan.model]: { bytesPerToken, blockTokens, prefillTokensPerSecond: 60_000, defaultMaxTokens: 16 } },
        routes: {
            [plan.route]: {
                kind: "model",
                model: plan.model,
                version: modelVersion,
                accounts: names,
                affinityWeight: plan.affinityWeight,
            },
            [plan.service]: { kind: "service", service: plan.service, accounts: names, repeatable: false, tokens: 10 },
        },
        targets: {
            ...Object.fromEntries(engines.map((address, index) => [`${plan.name}-engine-${index}`, {
                kind: "engine",
                address,
                dataCentre: toDataCentre(index),
                model: plan.model,
                version: modelVersion,
                slots: 16,
                checksFencing: index % 2 === 0,
            }])),
            ...Object.fromEntries(services.map((address, index) => [`${plan.name}-service-${index}`, {
                kind: "service",
                address,
                dataCentre: toDataCentre(index),
                service: plan.service,
            }])),
        },
    };
}

/** Merges the entries of several deployments into one configuration document. */
export function mergeConfigurationEntries(
    parts: readonly Record<string, Record<string, unknown>>[],
): Record<string, unknown> {
    const document: Record<string, Record<string, unknown>> = {
        operators: { [hashKey(operatorKey)]: { label: "stand-in operator" } },
    };
    for (const part of parts) {
        for (const [section, entries] of Object.entries(part)) {
            document[section] = { ...document[section], ...entries };
        }
    }
    return document;
}

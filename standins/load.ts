/** Load generator: callers of one deployment that send completions with nested prompts, and non-repeatable orders. */
import { randomBytes } from "node:crypto";
import { type AccountPlan, bytesPerToken, type DeploymentPlan } from "./deployments";
import { createEntryList, type EntryList, sendCompletion } from "./loadClient";
import { type AccountRecord, addRefusal, type LoadRecord, type OrderRecord, recordOutcome } from "./loadRecord";
import { computeArrivalDelay, createPrompt, createRandom, type Random } from "./workload";

export interface LoadOptions {
    readonly plan: DeploymentPlan;
    /** Addresses of the entries that callers begin with. */
    readonly entries: readonly string[];
    readonly durationMs: number;
    readonly seed: number;
    readonly record: LoadRecord;
    /** Fraction of the requests that are orders; 0.1 by default. */
    readonly orderFraction?: number;
}

const maxTokens = 16;
/** Attempts to send one completion; each goes to another entry. Orders get twice as many. */
const maxSendAttempts = 4;
const orderRetryDelayMs = 200;

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Creates a UUIDv7 (RFC 9562): 48 bits of time, then random bits. */
export function createUuidV7(now: number): string {
    const bytes = randomBytes(16);
    bytes.writeUIntBE(now, 0, 6);
    bytes[6] = ((bytes[6] ?? 0) & 0x0f) | 0x70;
    bytes[8] = ((bytes[8] ?? 0) & 0x3f) | 0x80;
    return bytes.toString("hex").replace(/^(.{8})(.{4})(.{4})(.{4})(.{12})$/, "$1-$2-$3-$4-$5");
}

interface Caller {
    readonly plan: DeploymentPlan;
    readonly account: AccountPlan;
    readonly accountRecord: AccountRecord;
    readonly record: LoadRecord;
    readonly entries: EntryList;
}

async function sendCompletionWithRetries(caller: Caller, prompt: string): Promise<void> {
    const { plan, account, accountRecord, record, entries } = caller;
    const tokens = Math.ceil(Buffer.byteLength(prompt) / bytesPerToken) + maxTokens;
    accountRecord.sent += 1;
    for (let send = 1; send <= maxSendAttempts; send += 1) {
        const address = await entries.get();
        const outcome = await sendCompletion({
            address,
            key: account.key,
            route: plan.route,
            prompt,
            maxTokens,
            stream: true,
        });
        const shouldTryOtherEntry = outcome.kind === "refused"
            && ["draining", "configuration_stale"].includes(outcome.refusal.code);
        if (outcome.kind !== "unreachable" && !shouldTryOtherEntry) {
            recordOutcome(record, accountRecord, outcome, tokens);
            return;
        }
        entries.recordFailure(address);
    }
    accountRecord.unreachable += 1;
}

async function sendOrderOnce(caller: Caller, order: OrderRecord): Promise<"done" | "not_run" | "unknown"> {
    const { plan, account, record, entries } = caller;
    const address = await entries.get();
    order.sends += 1;
    const response = await fetch(`http://${address}/services/${plan.service}/orders`, {
        method: "POST",
        headers: {
            "content-type": "application/json",
            authorization: `Bearer ${account.key}`,
            "idempotency-key": order.id,
        },
        body: JSON.stringify({ order: order.id, account: account.account }),
    }).catch(() => undefined);
    if (!response) {
        entries.recordFailure(address);
        return "unknown";
    }
    if (response.ok) {
        await response.arrayBuffer().catch(() => undefined);
        return "done";
    }
    const body = await response.json().catch(() => undefined) as
        | { error?: { code?: string; verdict?: string; }; }
        | undefined;
    const verdict = body?.error?.verdict ?? "may_have_run";
    addRefusal(record, `order: ${body?.error?.code ?? "no answer"}`, verdict);
    if (verdict === "ran") {
        return "done";
    }
    return verdict === "not_run" ? "not_run" : "unknown";
}

/** Sends an order with the same id until it is known to have run or the attempts are used up. */
async function sendOrder(caller: Caller): Promise<void> {
    const order: OrderRecord = {
        id: createUuidV7(Date.now()),
        account: caller.account.account,
        sends: 0,
        state: "open",
    };
    caller.record.orders.set(order.id, order);
    let hasUnknownOutcome = false;
    while (order.sends < maxSendAttempts * 2) {
        const result = await sendOrderOnce(caller, order);
        hasUnknownOutcome ||= result === "unknown";
        if (result === "done") {
            order.state = "done";
            return;
        }
        await wait(orderRetryDelayMs * order.sends);
    }
    order.state = hasUnknownOutcome ? "unknown" : "refused";
}

async function runCaller(caller: Caller, options: LoadOptions, random: Random): Promise<void> {
    const end = performance.now() + options.durationMs;
    const pendingSends: Promise<void>[] = [];
    let sequence = 0;
    for (;;) {
        await wait(computeArrivalDelay(random, caller.account.requestsPerSecond));
        if (performance.now() >= end) {
            break;
        }
        sequence += 1;
        const prompt = createPrompt(options.plan, caller.account.account, random, sequence);
        const isOrder = random() < (options.orderFraction ?? 0.1);
        pendingSends.push(isOrder ? sendOrder(caller) : sendCompletionWithRetries(caller, prompt));
    }
    await Promise.all(pendingSends);
}

/** Runs the callers of every account of a deployment and resolves when all requests have ended. */
export async function runLoad(options: LoadOptions): Promise<void> {
    const { plan, entries, seed, record } = options;
    await Promise.all(plan.accounts.map((account, index) => {
        const accountRecord = record.accounts.get(account.account) as AccountRecord;
        // Callers that request the list at different times get it in a different sequence; the rotation imitates this.
        const rotatedEntries = [...entries.slice(index % entries.length), ...entries.slice(0, index % entries.length)];
        const caller = {
            plan,
            account,
            accountRecord,
            record,
            entries: createEntryList({ initialAddresses: rotatedEntries, key: account.key }),
        };
        return runCaller(caller, options, createRandom(seed * 1000 + index));
    }));
}

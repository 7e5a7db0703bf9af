/** Metrics: counters and latency histograms in the Prometheus text format. */
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { CounterName, EffectOf, GaugeName, HistogramName } from "../effects";

const counterLabels: { readonly [Name in CounterName]: readonly string[]; } = {
    requests_total: ["route", "account"],
    refusals_total: ["code", "verdict"],
    attempts_total: ["outcome"],
    retries_total: ["outcome"],
    prompt_tokens_total: ["account"],
    cached_tokens_total: ["account"],
    generated_tokens_total: ["account"],
    store_failures_total: ["call"],
    store_received_bytes_total: ["call"],
    grants_total: ["outcome"],
    engine_crashes_total: [],
    quarantines_total: ["reason"],
    requests_without_row_total: [],
    internal_failures_total: ["part"],
    interrupted_responses_total: ["framing"],
    unframed_ends_total: ["state"],
    waits_total: ["missing"],
    answered_uploads_closed_total: ["fault"],
    orders_total: ["outcome"],
    shared_scope_changes_total: [],
    service_rollout_states_total: ["service", "state"],
    canary_requests_total: ["service"],
    clients_outside_limits_total: ["listener", "fault"],
};

const histogramNames: readonly HistogramName[] = [
    "engine_queue_ms",
    "first_token_ms",
    "queue_ms",
    "request_ms",
    "store_transfer_ms",
    "write_delay_ms",
];
const gaugeNames: readonly GaugeName[] = [
    "answered_upload_bytes",
    "configuration_behind",
    "configuration_version",
    "isolated_accounts",
    "store_failures_in_a_row",
    "undecodable_values",
];
const reportedPercentiles = [50, 95, 99, 99.9] as const;
/** Longer durations are recorded as this value, one hour. */
const maxDurationMs = 3_600_000;

export interface Metrics {
    addCount(effect: EffectOf<"addCount">): void;
    recordValue(effect: EffectOf<"recordValue">): void;
    updateGauge(effect: EffectOf<"updateGauge">): void;
    format(): Promise<string>;
}

/** Creates the metrics of a process. Durations are in milliseconds. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const counters = new Map<CounterName, Counter>();
    const histograms = new Map<HistogramName, Histogram>();
    for (const [name, labels] of Object.entries(counterLabels)) {
        const counter = new Counter({
            name: `marjoramvane_${name}`,
            help: name.replaceAll("_", " "),
            labelNames: [...labels],
            registers: [registry],
        });
        counters.set(name as CounterName, counter);
    }
    const gauges = new Map(gaugeNames.map(name => {
        const help = name.replaceAll("_", " ");
        return [name, new Gauge({ name: `marjoramvane_${name}`, help, registers: [registry] })];
    }));
    for (const name of histogramNames) {
        const histogram = build({ highestTrackableValue: maxDurationMs, numberOfSignificantValueDigits: 3 });
        histograms.set(name, histogram);
        registry.registerMetric(
            new Gauge({
                name: `marjoramvane_${name}`,
                help: `${name.replaceAll("_", " ")}, by quantile`,
                labelNames: ["quantile"],
                registers: [],
                collect() {
                    for (const percentile of reportedPercentiles) {
                        this.set({ quantile: String(percentile / 100) }, histogram.getValueAtPercentile(percentile));
                    }
                },
            }),
        );
    }
    return {
        addCount: ({ name, value, labels }) => {
            counters.get(name)?.inc(labels, value);
        },
        recordValue: ({ name, value }) => {
            histograms.get(name)?.recordValue(Math.min(maxDurationMs, Math.max(0, Math.round(value))));
        },
        updateGauge: ({ name, value }) => {
            gauges.get(name)?.set(value);
        },
        format: () => registry.metrics(),
    };
}

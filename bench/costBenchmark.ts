export const runCostBenchmark = (_hasher: unknown) => ({});
export const formatCostResults = (_results: object) => "";

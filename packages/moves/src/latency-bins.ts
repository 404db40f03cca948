/** Number of bins of a latency histogram. @public */
export const latencyBinCount = 24;

const firstEdgeMs = 0.5;
const lastEdgeMs = 60_000;
const logStep = Math.log(lastEdgeMs / firstEdgeMs) / (latencyBinCount - 2);

/** Index of the logarithmic bin of a latency in milliseconds. @public */
export function latencyBin(latencyMs: number): number {
  if (latencyMs < firstEdgeMs) return 0;
  const bin = 1 + Math.floor(Math.log(latencyMs / firstEdgeMs) / logStep);
  return Math.min(bin, latencyBinCount - 1);
}

/** Lower edge of a bin in milliseconds. @public */
export function lowerEdgeMs(bin: number): number {
  return bin === 0 ? 0 : firstEdgeMs * Math.exp((bin - 1) * logStep);
}

/** Sum of the counts in `bin` and above. @internal */
export function countFrom(bins: readonly number[], bin: number): number {
  let sum = 0;
  for (let i = bin; i < bins.length; i++) sum += bins[i] ?? 0;
  return sum;
}

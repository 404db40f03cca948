import os from 'node:os';

const bytesPerMb = 2 ** 20;

/** Load average of the last minute, rounded. @internal */
export function currentLoad(): number {
  return Math.round((os.loadavg()[0] ?? 0) * 100) / 100;
}

/** What the figures were measured on. @internal */
export function describeMachine(): Record<string, string | number> {
  return {
    cpus: os.cpus().length,
    model: os.cpus()[0]?.model ?? 'unknown',
    memoryMb: Math.round(os.totalmem() / bytesPerMb),
    node: process.version,
  };
}

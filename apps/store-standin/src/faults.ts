import {StoreBudget} from '@verbenabeam/store';
import * as z from 'zod';

/** Faults of the stand-in; absent fields keep their value. @public */
export const faultSettings = z
  .object({
    /** `reset` closes each connection; `noLeader` responds as not applied. */
    down: z.enum(['no', 'reset', 'noLeader']),
    /** Added time before a call takes effect, in milliseconds. */
    latencyMs: z.number().min(0).max(600_000),
    /** Number of coming writes that take effect without a response. */
    loseResponses: z.number().int().min(0),
    /** Calls per second over which calls are rejected; null is no limit. */
    callsPerSecond: z.number().positive().nullable(),
    /** Writes per second over which writes are rejected; null is no limit. */
    writesPerSecond: z.number().positive().nullable(),
  })
  .partial()
  .strict();

/** @public */
export type FaultSettings = z.infer<typeof faultSettings>;

/** Number of calls by path and in total; a watch counts as one call. @public */
export interface StandinCounts {
  total: number;
  writes: number;
  rejected: number;
  byPath: Record<string, number>;
}

/** Current faults and call counts. @internal */
export class Faults {
  readonly counts: StandinCounts = {
    total: 0,
    writes: 0,
    rejected: 0,
    byPath: {},
  };
  down: 'no' | 'reset' | 'noLeader' = 'no';
  latencyMs = 0;
  loseResponses = 0;
  #calls: StoreBudget | null = null;
  #writes: StoreBudget | null = null;

  set(settings: FaultSettings): void {
    this.down = settings.down ?? this.down;
    this.latencyMs = settings.latencyMs ?? this.latencyMs;
    this.loseResponses = settings.loseResponses ?? this.loseResponses;
    if (settings.callsPerSecond !== undefined) {
      this.#calls = bucket('calls', settings.callsPerSecond);
    }
    if (settings.writesPerSecond !== undefined) {
      this.#writes = bucket('writes', settings.writesPerSecond);
    }
  }

  /** Counts a call; false means that it exceeds a rate limit. */
  admit(path: string, isWrite: boolean, now: number): boolean {
    const {counts} = this;
    counts.total += 1;
    counts.byPath[path] = (counts.byPath[path] ?? 0) + 1;
    if (isWrite) counts.writes += 1;
    const within =
      (this.#calls?.tryTake(now) ?? true) &&
      (!isWrite || (this.#writes?.tryTake(now) ?? true));
    if (!within) counts.rejected += 1;
    return within;
  }

  /** True when the response to this write must be lost. */
  losesResponse(): boolean {
    if (this.loseResponses === 0) return false;
    this.loseResponses -= 1;
    return true;
  }
}

function bucket(role: string, rate: number | null): StoreBudget | null {
  return rate === null ? null : new StoreBudget({role, callsPerSecond: rate});
}

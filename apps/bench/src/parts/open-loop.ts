import {performance} from 'node:perf_hooks';
import {setImmediate} from 'node:timers/promises';
import type {RandomSource} from '@verbenabeam/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Pool} from 'undici';

const usPerMs = 1_000;
const msPerSecond = 1_000;

/** One load on one path. @internal */
export interface OpenLoopOptions {
  readonly pool: Pool;
  readonly path: string;
  readonly body: Buffer;
  readonly callsPerSecond: number;
  readonly seconds: number;
  readonly random: RandomSource;
}

/** What a load measured. @internal */
export interface OpenLoopResult {
  /** Latencies in microseconds from the intended send times. */
  readonly latencies: Histogram;
  readonly failed: number;
}

/** An empty histogram for latencies in microseconds. @internal */
export function newLatencies(): Histogram {
  return build({numberOfSignificantValueDigits: 3});
}

/** A percentile in milliseconds. @internal */
export function percentileMs(latencies: Histogram, percent: number): number {
  return latencies.getValueAtPercentile(percent) / usPerMs;
}

/** Sends one call; true if the whole body came back. @internal */
export function sendCall(
  pool: Pool,
  path: string,
  body: Buffer,
): Promise<boolean> {
  return new Promise(resolve => {
    let size = 0;
    let status = 0;
    pool.dispatch(
      {method: 'POST', path, body},
      {
        onConnect: () => undefined,
        onHeaders: code => {
          status = code;
          return true;
        },
        onData: chunk => {
          size += chunk.length;
          return true;
        },
        onComplete: () => resolve(status === 200 && size === body.length),
        onError: () => resolve(false),
      },
    );
  });
}

/** Sends calls at random times of a given rate. @internal */
export async function runOpenLoop(
  options: OpenLoopOptions,
): Promise<OpenLoopResult> {
  const {pool, path, body, callsPerSecond, seconds, random} = options;
  const latencies = newLatencies();
  let failed = 0;
  const running: Promise<void>[] = [];
  const startAt = performance.now();
  let intended = startAt;
  for (;;) {
    intended += (-Math.log(1 - random.float()) * msPerSecond) / callsPerSecond;
    if (intended > startAt + seconds * msPerSecond) break;
    // The loop spins, because a timer would add up to a millisecond.
    while (performance.now() < intended) await setImmediate();
    const at = intended;
    const call = sendCall(pool, path, body).then(whole => {
      if (!whole) failed++;
      else
        latencies.recordValue(Math.round((performance.now() - at) * usPerMs));
    });
    running.push(call);
  }
  await Promise.all(running);
  return {latencies, failed};
}

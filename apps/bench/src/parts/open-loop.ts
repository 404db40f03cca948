import {performance} from 'node:perf_hooks';
import type {RandomSource} from '@verbenabeam/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Pool} from 'undici';

const usPerMs = 1_000;
const msPerSecond = 1_000;
/** A timer fires up to about 2 ms late, so the rest of a wait is spun. */
const timerMarginMs = 2;
/**
 * Time that one turn of the loop spins. Turns without it ran 10 garbage
 * collections a second, the longest of 125 ms on a loaded machine.
 */
const spinMs = 0.02;

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
  /** Delays of the generator itself, intended to actual send, in us. */
  readonly lateness: Histogram;
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

/** Sends one call; `done` gets true if the whole body came back. @internal */
export function sendCall(
  pool: Pool,
  path: string,
  body: Buffer,
  done: (whole: boolean) => void,
): void {
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
      onComplete: () => done(status === 200 && size === body.length),
      onError: () => done(false),
    },
  );
}

/**
 * Sends calls at random times of a given rate. Callbacks are used in place of
 * promises, so that the generator makes little garbage while it measures.
 *
 * @internal
 */
export function runOpenLoop(options: OpenLoopOptions): Promise<OpenLoopResult> {
  const {pool, path, body, callsPerSecond, seconds, random} = options;
  const latencies = newLatencies();
  const lateness = newLatencies();
  const gapMs = () =>
    (-Math.log(1 - random.float()) * msPerSecond) / callsPerSecond;
  const startAt = performance.now();
  const endAt = startAt + seconds * msPerSecond;
  let intended = startAt + gapMs();
  let failed = 0;
  let open = 0;
  return new Promise(resolve => {
    const finishIfDone = () => {
      if (intended <= endAt || open > 0) return;
      resolve({latencies, lateness, failed});
    };
    const send = (at: number) => {
      open++;
      lateness.recordValue(Math.round((performance.now() - at) * usPerMs));
      sendCall(pool, path, body, whole => {
        open--;
        const us = Math.round((performance.now() - at) * usPerMs);
        if (whole) latencies.recordValue(us);
        else failed++;
        finishIfDone();
      });
    };
    const turn = () => {
      const spinUntil = performance.now() + spinMs;
      while (performance.now() < Math.min(intended, spinUntil));
      while (intended <= endAt && intended <= performance.now()) {
        const at = intended;
        intended += gapMs();
        send(at);
      }
      const waitMs = intended - performance.now() - timerMarginMs;
      if (intended > endAt) finishIfDone();
      else if (waitMs > 1) setTimeout(turn, waitMs);
      else setImmediate(turn);
    };
    turn();
  });
}

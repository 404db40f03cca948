import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from './fleet.js';

const msPerSecond = 1_000;
const windowMs = 5_000;
/** Windows in a row that must not fall below the lowest one before them. */
const flatWindows = 3;
/** Smaller falls than this share are noise between two windows. */
const noiseShare = 0.05;
const boundMs = 180_000;

/** How the wait of {@link awaitCalm} ended. @internal */
export interface Calm {
  /** False if the traffic still fell at the bound. */
  readonly settled: boolean;
  readonly waitedSeconds: number;
}

/**
 * Waits until the control traffic of a fleet no longer falls. The gossip about
 * the start takes 20 s and more; figures at rest that are taken earlier contain
 * it.
 *
 * @internal
 */
export async function awaitCalm(fleet: Fleet): Promise<Calm> {
  const startAt = Date.now();
  let lowest = Infinity;
  let flat = 0;
  let before = await sentOf(fleet);
  while (flat < flatWindows && Date.now() - startAt < boundMs) {
    await sleep(windowMs);
    const after = await sentOf(fleet);
    const sent = after - before;
    before = after;
    flat = sent < lowest * (1 - noiseShare) ? 0 : flat + 1;
    lowest = Math.min(lowest, sent);
  }
  const waitedSeconds = (Date.now() - startAt) / msPerSecond;
  return {settled: flat >= flatWindows, waitedSeconds};
}

async function sentOf(fleet: Fleet): Promise<number> {
  const usage = await fleet.bytes();
  return usage.reduce((sum, {control}) => sum + control.sent, 0);
}

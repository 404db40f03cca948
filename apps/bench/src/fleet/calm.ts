import {setTimeout as sleep} from 'node:timers/promises';
import {CalmDetector} from './calm-detector.js';
import type {Fleet} from './fleet.js';

const msPerSecond = 1_000;
const windowMs = 5_000;
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
  const detector = new CalmDetector();
  let before = await sentOf(fleet);
  while (!detector.calm && Date.now() - startAt < boundMs) {
    await sleep(windowMs);
    const after = await sentOf(fleet);
    detector.add(after - before);
    before = after;
  }
  const waitedSeconds = (Date.now() - startAt) / msPerSecond;
  return {settled: detector.calm, waitedSeconds};
}

async function sentOf(fleet: Fleet): Promise<number> {
  const usage = await fleet.bytes();
  return usage.reduce((sum, {control}) => sum + control.sent, 0);
}

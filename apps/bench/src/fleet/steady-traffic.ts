import {setTimeout as sleep} from 'node:timers/promises';
import {SteadyState} from '../report/steady-state.js';
import type {Fleet} from './fleet.js';

const msPerSecond = 1_000;
const windowMs = 5_000;
const boundMs = 180_000;
/** Windows in a row that must not fall. */
export const flatWindows = 3;

/** How the wait of {@link awaitSteadyTraffic} ended. @internal */
export interface SteadyTraffic {
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
export async function awaitSteadyTraffic(fleet: Fleet): Promise<SteadyTraffic> {
  const startAt = Date.now();
  const state = new SteadyState(flatWindows);
  let before = await sentOf(fleet);
  while (!state.reached && Date.now() - startAt < boundMs) {
    await sleep(windowMs);
    const after = await sentOf(fleet);
    state.add(after - before);
    before = after;
  }
  const waitedSeconds = (Date.now() - startAt) / msPerSecond;
  return {settled: state.reached, waitedSeconds};
}

async function sentOf(fleet: Fleet): Promise<number> {
  const usage = await fleet.bytes();
  return usage.reduce((sum, {control}) => sum + control.sent, 0);
}

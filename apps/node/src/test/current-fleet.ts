import assert from 'node:assert/strict';
import {Fleet} from './fleet.js';

let current: Fleet | null = null;

/** The fleet of the running scenario. @internal */
export function fleet(): Fleet {
  assert.ok(current, 'the scenario has started no fleet');
  return current;
}

/** Begins a scenario with a new fleet. @internal */
export function newFleet(): Fleet {
  current = new Fleet();
  return current;
}

/** Ends all processes of the scenario. @internal */
export async function endFleet(): Promise<void> {
  const ended = current;
  current = null;
  await ended?.kill();
}

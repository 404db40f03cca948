import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import type {RunWorld} from './run-world.js';

/** Bound of P8 for new work at a leaving upstream, in milliseconds. */
const leaveBoundMs = 3_000;

interface Line {
  readonly at: number;
  readonly event: 'run' | 'leaving';
  readonly key?: string;
  readonly callId?: string;
}

/** Compares the run records of all upstreams with what the callers saw. */
export function checkRunLogs(world: RunWorld): void {
  const {callers, violations} = world;
  const calls = new Set<string>();
  const keys = new Map<string, number>();
  for (const file of readdirSync(world.folder)) {
    let leavingAt = Infinity;
    for (const {at, event, key, callId} of linesOf(world.folder, file)) {
      if (event === 'leaving') {
        leavingAt = at;
        continue;
      }
      if (callId !== undefined) calls.add(callId);
      if (key !== undefined) keys.set(key, (keys.get(key) ?? 0) + 1);
      const lateMs = at - leavingAt;
      if (lateMs > leaveBoundMs) {
        violations.add(`${file} ran a call ${lateMs} ms after it left`);
      }
    }
  }
  for (const callId of callers.notRun) {
    if (calls.has(callId)) violations.add(`${callId}: refused as not run, ran`);
  }
  for (const [key, count] of keys) {
    if (count > 1) violations.add(`${key} ran ${count} times`);
  }
  for (const id of callers.answered) {
    if (!calls.has(id) && !keys.has(id)) violations.add(`${id} never ran`);
  }
}

function linesOf(folder: string, file: string): Line[] {
  return readFileSync(path.join(folder, file), 'utf8')
    .split('\n')
    .filter(Boolean)
    .map(line => JSON.parse(line) as Line);
}

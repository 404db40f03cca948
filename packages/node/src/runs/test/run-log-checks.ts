import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import type {TestMesh} from './test-mesh.js';

/**
 * Limit of guarantee P8 for new calls at a leaving upstream, in milliseconds.
 */
const leaveBoundMs = 3_000;

interface RunLogLine {
  readonly at: number;
  readonly event: 'run' | 'leaving';
  readonly key?: string;
  readonly callId?: string;
}

/** Checks the run logs of all upstreams against the results of the callers. */
export function checkRunLogs(mesh: TestMesh): void {
  const {callers, violations} = mesh;
  const calls = new Set<string>();
  const keys = new Map<string, number>();
  for (const file of readdirSync(mesh.folder)) {
    let leavingAt = Infinity;
    for (const {at, event, key, callId} of readRunLog(mesh.folder, file)) {
      if (event === 'leaving') {
        leavingAt = at;
        continue;
      }
      if (callId !== undefined) calls.add(callId);
      if (key !== undefined) keys.set(key, (keys.get(key) ?? 0) + 1);
      const lateMs = at - leavingAt;
      if (lateMs > leaveBoundMs) {
        violations.add(
          `${file} ran a call ${lateMs} ms after it began to leave`,
        );
      }
    }
  }
  for (const callId of callers.notRun) {
    if (calls.has(callId))
      violations.add(`${callId}: refused as not run, but it ran`);
  }
  for (const [key, count] of keys) {
    if (count > 1) violations.add(`${key} ran ${count} times`);
  }
  for (const id of callers.answered) {
    if (!calls.has(id) && !keys.has(id))
      violations.add(`${id} got a successful response, but never ran`);
  }
}

function readRunLog(folder: string, file: string): RunLogLine[] {
  return readFileSync(path.join(folder, file), 'utf8')
    .split('\n')
    .filter(Boolean)
    .map(line => JSON.parse(line) as RunLogLine);
}

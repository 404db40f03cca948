import {appendFileSync} from 'node:fs';

/** One line of a run log: an execution, or the announcement of leaving. @public */
export interface RunLogLine {
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  /** Process id of the upstream. */
  readonly pid: number;
  readonly event: 'run' | 'leaving';
  readonly path?: string;
  readonly key?: string;
  readonly callId?: string;
}

/** Appends a line before it returns, so that a killed process loses none. @internal */
export function appendRunLog(
  file: string | null,
  line: Omit<RunLogLine, 'at' | 'pid'>,
): void {
  if (file === null) return;
  const full: RunLogLine = {at: Date.now(), pid: process.pid, ...line};
  appendFileSync(file, `${JSON.stringify(full)}\n`);
}

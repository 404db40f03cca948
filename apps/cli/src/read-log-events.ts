import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {ACCESS_CODES, MeshError, parseJson} from '@verbenabeam/core';
import {Result} from 'true-myth';
import {logEventSchema} from './log-event.js';
import type {LogEvent} from './log-event.js';
import {stdinPath} from './read-document.js';

/** What logs say of one call. */
export interface FoundEvents {
  /** By time. */
  readonly events: readonly LogEvent[];
  /** Lines that were read. */
  readonly lines: number;
  /** Places of lines that are no log line, as `file:line`. */
  readonly malformed: readonly string[];
}

/** Finds the lines of a call and of the calls that its upstreams made. */
export async function readLogEvents(
  callId: string,
  paths: readonly string[],
): Promise<Result<FoundEvents, MeshError>> {
  const events: LogEvent[] = [];
  const malformed: string[] = [];
  let lines = 0;
  for (const path of paths) {
    const input = path === stdinPath ? process.stdin : createReadStream(path);
    let line = 0;
    try {
      for await (const text of createInterface({input})) {
        line++;
        lines++;
        // Most lines are of other calls; these need not be parsed.
        if (!text.includes(callId)) continue;
        const event = logEventSchema.safeParse(parseJson(text)).data;
        if (!event) malformed.push(`${path}:${line}`);
        else if (isOfCall(event, callId)) events.push(event);
      }
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      const message = `cannot read log "${path}": ${reason}`;
      return Result.err(new MeshError(ACCESS_CODES.badRequest, message));
    }
  }
  events.sort((a, b) => a.time - b.time);
  return Result.ok({events, lines, malformed});
}

/** Upstreams that make calls put the id of their call before a dot. */
function isOfCall({requestId}: LogEvent, callId: string): boolean {
  return requestId === callId || requestId?.startsWith(`${callId}.`) === true;
}

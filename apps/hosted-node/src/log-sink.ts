import type {LogSink} from '@verbenabeam/core';
import {destination, pino} from 'pino';

/** Lines are written together once this many bytes wait. */
const minWriteBytes = 8_192;
/** Lines wait at most this long. */
const flushMs = 250;
/**
 * Lines of one part and result code beyond this number a second are counted, not
 * written. Refusals under load leave room for the lines of other results.
 */
const maxLinesPerSecond = 25;
const windowMs = 1_000;

/** Writes log lines as JSON to standard output. */
export interface JsonLog {
  readonly write: LogSink;
  /** Writes what waits, at the end of the process. */
  flush(): void;
}

interface PartWindow {
  startAt: number;
  lines: number;
  dropped: number;
}

/** Creates the structured log of a node; it never waits for its reader. */
export function createLogSink(nodeId: string): JsonLog {
  const out = destination({dest: 1, sync: false, minLength: minWriteBytes});
  const log = pino({base: {node: nodeId}}, out);
  const windows = new Map<string, PartWindow>();
  setInterval(() => out.flush(), flushMs).unref();
  const write: LogSink = (part, sentence, fields) => {
    const now = performance.now();
    const code = fields?.['code'];
    const key = `${part} ${String(code ?? '')}`;
    const window = windows.get(key) ?? {startAt: now, lines: 0, dropped: 0};
    windows.set(key, window);
    if (now - window.startAt > windowMs) {
      if (window.dropped > 0) {
        const {dropped} = window;
        log.info({part, code, dropped}, 'Lines were dropped.');
      }
      Object.assign(window, {startAt: now, lines: 0, dropped: 0});
    }
    if (window.lines >= maxLinesPerSecond) {
      window.dropped++;
      return;
    }
    window.lines++;
    log.info({part, ...fields}, sentence);
  };
  return {
    write,
    flush: () => {
      out.flushSync();
    },
  };
}

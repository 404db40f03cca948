/**
 * Worker thread with callers that stay for a short time: each opens a connection,
 * sends a request, and leaves with its answer or without one at its time limit.
 *
 * @packageDocumentation
 */
import net from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** What the worker gets as its data. */
export interface ShortCallers {
  readonly port: number;
  /** Time between two callers, in ms. */
  readonly everyMs: number;
  /** Time that a caller stays, in ms. */
  readonly staysMs: number;
  /** Time in which callers come, in ms. */
  readonly forMs: number;
}

/** What the worker tells when its callers have left. */
export interface ShortCallersSeen {
  readonly callers: number;
  /** Longest time in which no caller got an answer, in ms. */
  readonly longestGapMs: number;
}

const {port, everyMs, staysMs, forMs} = workerData as ShortCallers;
const startAt = performance.now();
let lastAnswerAt = startAt;
let longestGapMs = 0;
let callers = 0;

function noteAnswer(at: number): void {
  longestGapMs = Math.max(longestGapMs, at - lastAnswerAt);
  lastAnswerAt = at;
}

function call(): void {
  callers++;
  const socket = net.connect(port, '127.0.0.1', () => {
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  });
  const limit = setTimeout(() => socket.destroy(), staysMs);
  socket.once('data', () => {
    clearTimeout(limit);
    noteAnswer(performance.now());
    socket.destroy();
  });
  socket.on('error', () => undefined);
}

const coming = setInterval(call, everyMs);
setTimeout(() => {
  clearInterval(coming);
  noteAnswer(performance.now());
  const seen: ShortCallersSeen = {callers, longestGapMs};
  parentPort?.postMessage(seen);
  process.exit();
}, forMs);

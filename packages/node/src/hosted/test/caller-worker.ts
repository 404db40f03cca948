/**
 * Worker thread with callers that stay for a short time: each opens a connection,
 * sends a request, and leaves with its answer or without one at its time limit.
 *
 * @packageDocumentation
 */
import net from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** What the worker gets as its data. */
export interface CallerWorkerData {
  readonly port: number;
  /** Time between two callers, in ms. */
  readonly intervalMs: number;
  /** Time that a caller stays, in ms. */
  readonly timeoutMs: number;
  /** Time in which callers come, in ms. */
  readonly durationMs: number;
}

/** What the worker tells when its callers have left. */
export interface CallerWorkerResult {
  readonly callers: number;
  /** Longest time in which no caller got an answer, in ms. */
  readonly longestGapMs: number;
}

const {port, intervalMs, timeoutMs, durationMs} =
  workerData as CallerWorkerData;
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
  const timeout = setTimeout(() => socket.destroy(), timeoutMs);
  socket.once('data', () => {
    clearTimeout(timeout);
    noteAnswer(performance.now());
    socket.destroy();
  });
  socket.on('error', () => undefined);
}

const timer = setInterval(call, intervalMs);
setTimeout(() => {
  clearInterval(timer);
  noteAnswer(performance.now());
  const result: CallerWorkerResult = {callers, longestGapMs};
  parentPort?.postMessage(result);
  process.exit();
}, durationMs);

/**
 * Worker thread with callers that have a short timeout: each opens a connection,
 * sends a request, and closes the connection after the response or at the timeout.
 *
 * @packageDocumentation
 */
import net from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** Input of the worker. */
export interface CallerWorkerData {
  readonly port: number;
  /** Interval between the starts of two callers, in ms. */
  readonly intervalMs: number;
  /** Timeout of a caller, in ms. */
  readonly timeoutMs: number;
  /** Duration of the run, in ms. */
  readonly durationMs: number;
}

/** Result that the worker posts at the end of the run. */
export interface CallerWorkerResult {
  /** Number of callers started, each with one request. */
  readonly callers: number;
  /** Longest period without a response, in ms. */
  readonly longestGapMs: number;
}

const {port, intervalMs, timeoutMs, durationMs} =
  workerData as CallerWorkerData;
const startAt = performance.now();
let lastAnswerAt = startAt;
let longestGapMs = 0;
let callers = 0;

function endGap(at: number): void {
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
    endGap(performance.now());
    socket.destroy();
  });
  socket.on('error', () => undefined);
}

const timer = setInterval(call, intervalMs);
setTimeout(() => {
  clearInterval(timer);
  endGap(performance.now());
  const result: CallerWorkerResult = {callers, longestGapMs};
  parentPort?.postMessage(result);
  process.exit();
}, durationMs);

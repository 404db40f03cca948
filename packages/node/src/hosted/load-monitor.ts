import {performance} from 'node:perf_hooks';
import type {EventLoopUtilization} from 'node:perf_hooks';
import {CALL_CODES, logger} from '@verbenabeam/core';
import type {LoadReport} from '@verbenabeam/routing';
import {TimeTotals} from '../calls/index.js';
import type {CallRecord, TimeTotal} from '../calls/index.js';
import {runPeriodically} from '../run-periodically.js';
import {EventLoopSampler} from './event-loop-sampler.js';
import type {EventLoopWindow} from './event-loop-sampler.js';
import type {ResponseTotals} from './response-totals.js';

const log = logger('load');
const windowMs = 1_000;
const percent = 100;
const usPerMs = 1_000;
const bytesPerKb = 1_024;
const bytesPerMb = 1_048_576;
const noResponses: ResponseTotals = {
  heldBytes: 0,
  resetEnds: 0,
  exceeded: 0,
};
const noTotals: ReadonlyMap<string, TimeTotal> = new Map();

/** Values that a {@link LoadMonitor} reads at each window end. @internal */
export interface LoadMonitorSources {
  /** Load of the upstream of this node. */
  readonly load: () => LoadReport;
  /** Bytes of calls to and from other nodes since the start. */
  readonly callBytes: () => number;
  /** Calls that were read and not yet started. */
  readonly waiting: () => number;
  /** Waits of calls by place since the last read; default none. */
  readonly waits?: () => ReadonlyMap<string, TimeTotal>;
  /** Default no responses. */
  readonly responses?: () => ResponseTotals;
  /** Processor time of all threads since the start, in µs; default measured. */
  readonly processorTime?: () => NodeJS.CpuUsage;
  /** Event loop iterations since the last read; default measured. */
  readonly turns?: () => EventLoopWindow;
  /** Memory of the process; default measured. */
  readonly memory?: () => Pick<NodeJS.MemoryUsage, 'heapUsed' | 'external'>;
  /** Event loop utilization; default that of this thread. */
  readonly utilization?: (since?: EventLoopUtilization) => EventLoopUtilization;
}

/**
 * Logs how busy the event loop is and what it does, in windows of one second.
 * Answered calls have no log line of their own, so the lines of refused calls alone
 * do not show whether slots or processor time ran out.
 *
 * @internal
 */
export class LoadMonitor {
  readonly #sources: LoadMonitorSources;
  readonly #utilization: NonNullable<LoadMonitorSources['utilization']>;
  #since: EventLoopUtilization;
  #bytes = 0;
  #resetEnds = 0;
  #connections = 0;
  #calls = 0;
  #refused = 0;
  #throttled = 0;
  #processorMs: number;
  readonly #slotTimes = new TimeTotals();
  readonly #answered = new TimeTotals();
  readonly #loopSampler = new EventLoopSampler();
  #busyRatio = 0;

  constructor(sources: LoadMonitorSources) {
    this.#sources = sources;
    this.#utilization =
      sources.utilization ?? (since => performance.eventLoopUtilization(since));
    this.#since = this.#utilization();
    this.#processorMs = this.#readProcessorMs();
  }

  /** Share of the last window in which the event loop was busy, 0 to 1. */
  get busyRatio(): number {
    return this.#busyRatio;
  }

  /** Measures until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#loopSampler.start(signal);
    runPeriodically(windowMs, signal, () => this.endWindow());
  }

  /** Counts an accepted connection of a caller. */
  recordConnection(): void {
    this.#connections++;
  }

  /** Counts a finished call of this entry node. */
  recordCall({
    code,
    route,
    durationMs,
    turnedAway,
  }: Pick<CallRecord, 'code' | 'route' | 'durationMs' | 'turnedAway'>): void {
    this.#calls++;
    if (code.notRun) this.#refused++;
    if (turnedAway) this.#throttled++;
    if (code === CALL_CODES.ok) this.#answered.add(route ?? '', durationMs);
  }

  /** Adds the time for which a call held a slot of the upstream. */
  recordSlotTime(route: string, heldMs: number): void {
    this.#slotTimes.add(route, heldMs);
  }

  /** Logs the window that ends now, unless it had no calls. */
  endWindow(): void {
    const {load, callBytes, waiting} = this.#sources;
    const now = this.#utilization();
    this.#busyRatio = this.#utilization(this.#since).utilization;
    this.#since = now;
    const processorMs = this.#readProcessorMs();
    const bytes = callBytes();
    const turns = this.#sources.turns?.() ?? this.#loopSampler.take();
    const waits = this.#sources.waits?.() ?? noTotals;
    const held = this.#slotTimes.take();
    const {heldBytes, resetEnds} = this.#sources.responses?.() ?? noResponses;
    const answered = this.#answered.take();
    if (this.#calls > 0 || held.size > 0) {
      const {inFlight, queued, slots} = load();
      const {heapUsed, external} =
        this.#sources.memory?.() ?? process.memoryUsage();
      log('Load of the last second.', {
        busyPercent: Math.round(this.#busyRatio * percent),
        cpuMs: Math.round(processorMs - this.#processorMs),
        ...turns,
        connections: this.#connections,
        calls: this.#calls,
        refused: this.#refused,
        throttled: this.#throttled,
        waiting: waiting(),
        callKb: Math.round((bytes - this.#bytes) / bytesPerKb),
        heapMb: Math.round(heapUsed / bytesPerMb),
        bufferMb: Math.round(external / bytesPerMb),
        heldKb: Math.round(heldBytes / bytesPerKb),
        resetEnds: resetEnds - this.#resetEnds,
        inFlight,
        queued,
        slots,
        answered: formatTotals(answered),
        waits: formatTotals(waits),
        held: formatTotals(held),
      });
    }
    this.#processorMs = processorMs;
    this.#bytes = bytes;
    this.#resetEnds = resetEnds;
    this.#connections = 0;
    this.#calls = 0;
    this.#refused = 0;
    this.#throttled = 0;
  }

  #readProcessorMs(): number {
    const {user, system} =
      this.#sources.processorTime?.() ?? process.cpuUsage();
    return (user + system) / usPerMs;
  }
}

/** Number of calls and mean time by name. */
function formatTotals(totals: ReadonlyMap<string, TimeTotal>): string[] {
  return [...totals].map(
    ([name, {calls, ms}]) =>
      `${name} ${calls} calls ${Math.round(ms / calls)} ms`,
  );
}

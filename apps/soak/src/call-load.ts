import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@verbenabeam/core';
import {PORTS} from './addresses.js';
import {CallerConnection} from './caller-connection.js';
import type {CallerHandlers} from './caller-connection.js';
import type {Call} from './call.js';

/** Options of {@link CallLoad}. */
export interface CallLoadOptions {
  /** Number of the entry machine. */
  readonly entry: number;
  readonly host: string;
  /** Calls a second, whatever became of earlier ones. */
  readonly rate: number;
  readonly random: RandomSource;
  readonly handlers: CallerHandlers;
  readonly onCall: (call: Call) => void;
  /** Share of calls after which the caller leaves. */
  readonly leaveShare: number;
  readonly signal: AbortSignal;
}

const connections = 4;
/** Requests behind each other on a connection. */
const maxDepth = 4;
const pipelineShare = 0.3;
/** Below the idle time of the configuration. */
const maxIdleMs = 8_000;
const msPerSecond = 1_000;
const deadlineMs = 2_000;
const maxWorkMs = 120;
const longShare = 0.1;
const bodySizes = [0, 0, 0, 0, 40, 40, 3_000, 80_000] as const;
const routes = ['/safe/', '/once/', '/stock-safe/', '/stock-once/'] as const;

/** Calls of some callers of one node at an open-loop rate. */
export class CallLoad {
  readonly #options: CallLoadOptions;
  readonly #connections: CallerConnection[] = [];
  #calls = 0;

  constructor(options: CallLoadOptions) {
    this.#options = options;
  }

  /** Sends until the signal aborts; connections stay open. */
  async run(): Promise<void> {
    const {random, rate, signal} = this.#options;
    let dueAt = performance.now();
    while (!signal.aborted) {
      dueAt -= (Math.log(1 - random.float()) / rate) * msPerSecond;
      await sleep(Math.max(0, dueAt - performance.now()));
      this.#send();
    }
  }

  /** Closes connections without open calls; true if there are no others. */
  close(): boolean {
    for (const used of this.#connections) if (used.depth === 0) used.leave();
    return this.#connections.every(({depth}) => depth === 0);
  }

  #send(): void {
    const {entry, random, onCall, leaveShare} = this.#options;
    const route = random.pick(routes);
    const long = random.float() < longShare ? 'long-' : '';
    const call: Call = {
      id: `${long}${entry}-${++this.#calls}`,
      entry,
      path: `${route}work-${random.below(maxWorkMs)}`,
      bodyBytes: random.pick(bodySizes),
      isOnce: route.includes('once'),
      sentAt: performance.now(),
      endAt: Infinity,
      end: null,
      status: 0,
      ranAt: [],
    };
    const isPipelined = random.float() < pipelineShare;
    const leaves = random.float() < leaveShare;
    const connection = this.#choose(isPipelined);
    onCall(call);
    connection.send(call, deadlineMs);
    if (leaves) setTimeout(() => connection.leave(), maxWorkMs / 2);
  }

  #choose(isPipelined: boolean): CallerConnection {
    const {host, handlers} = this.#options;
    const list = this.#connections;
    for (const old of list) {
      const isIdle = performance.now() - old.usedAt > maxIdleMs;
      if (isIdle && old.depth === 0) old.leave();
    }
    const kept = list.filter(({isUsable, depth}) => isUsable || depth > 0);
    list.splice(0, list.length, ...kept);
    const free = list
      .filter(({isUsable, depth}) => isUsable && depth < maxDepth)
      .sort((a, b) => a.depth - b.depth);
    const busy = free.findLast(({depth}) => depth > 0);
    if (isPipelined && busy) return busy;
    const [idlest] = free;
    if (idlest && (idlest.depth === 0 || free.length >= connections)) {
      return idlest;
    }
    const fresh = new CallerConnection(host, PORTS.callers, handlers);
    list.push(fresh);
    return fresh;
  }
}

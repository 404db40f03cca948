import {setTimeout as sleep} from 'node:timers/promises';
import {logger, seededRandom} from '@verbenabeam/core';
import type {CallProtocol} from '../calls/index.js';
import type {WarmUpSample} from './warm-up-sample.js';
import {makeCalls} from './warm-up-caller.js';
import {WARM_UP_KINDS} from './warm-up-document.js';
import type {WarmUpKind} from './warm-up-document.js';
import {WarmUpNode} from './warm-up-node.js';
import {WarmUpUpstream} from './warm-up-upstream.js';

/** Options of {@link WarmUp}. @public */
export interface WarmUpOptions {
  readonly protocol: CallProtocol;
  readonly sample: WarmUpSample;
  /** False while the node has calls from real callers. */
  readonly isIdle: () => boolean;
  readonly signal: AbortSignal;
  /** Number of calls after which the warm-up ends; default 4,000. */
  readonly maxCalls?: number;
  /** Maximum duration, in ms; default 8,000. */
  readonly maxMs?: number;
}

const defaults = {maxCalls: 4_000, maxMs: 8_000};
/**
 * The warm-up begins only if the node stays idle for this time after its start,
 * in ms.
 */
const idleCheckMs = 1_000;
/** Interval between two checks for calls during that time, in ms. */
const pollMs = 50;
/** Concurrent connections; more than the slots of both nodes. */
const concurrency = 8;
/** Calls per connection; most callers that reconnect make one call. */
const callsPerConnection = [1, 2, 4] as const;
/** Every 16th connection uploads bodies. */
const uploadEvery = 16;
/** Every third connection of the others sends non-idempotent calls. */
const writeEvery = 3;
const seed = 1;
const log = logger('warm-up');

/**
 * Runs the code of the call path against a stub upstream in the same process, so
 * that the JIT compiler optimises it while the node has no real calls. Without a
 * warm-up, a call in the first seconds of load costs several times as much as
 * after some thousand calls. The warm-up calls neither the real upstream nor
 * other nodes and does not count in the metrics.
 *
 * @public
 */
export class WarmUp {
  readonly #options: Required<WarmUpOptions>;
  #connections = 0;
  /** Calls assigned to connections so far. */
  #requested = 0;
  #calls = 0;
  #startedAt = 0;

  constructor(options: WarmUpOptions) {
    this.#options = {...defaults, ...options};
  }

  /** Number of calls that ended; 0 until the warm-up is over. */
  get calls(): number {
    return this.#calls;
  }

  /**
   * Resolves after the last call, after the maximum duration, on abort or when
   * the node has real calls. Makes no warm-up calls if the node has real calls
   * soon after its start, because it then restarts under load.
   */
  async run(): Promise<void> {
    if (!(await this.#staysIdle())) return;
    const {protocol, sample} = this.#options;
    this.#startedAt = performance.now();
    const random = seededRandom(seed);
    const upstream = new WarmUpUpstream(sample);
    await upstream.start();
    const nodes = ['warm-up-1', 'warm-up-2'].map(
      nodeId =>
        new WarmUpNode({
          nodeId,
          protocol,
          snapshot: sample.snapshot,
          random,
          upstreamAddress: upstream.address,
        }),
    );
    for (const node of nodes) await node.start();
    for (const node of nodes) node.setNodes(nodes);
    const ports = nodes.map(({port}) => port);
    await Promise.all(
      Array.from({length: concurrency}, () => this.#makeConnections(ports)),
    );
    this.#calls = nodes.reduce((sum, {calls}) => sum + calls, 0);
    await Promise.all(nodes.map(node => node.close()));
    upstream.close();
    const ms = Math.round(performance.now() - this.#startedAt);
    const {isIdle} = this.#options;
    log('Code has been warmed up.', {calls: this.#calls, ms, idle: isIdle()});
  }

  async #staysIdle(): Promise<boolean> {
    const {isIdle, signal} = this.#options;
    const until = performance.now() + idleCheckMs;
    while (performance.now() < until) {
      if (!isIdle() || signal.aborted) return false;
      await sleep(pollMs);
    }
    return isIdle();
  }

  get #shouldContinue(): boolean {
    const {maxCalls, maxMs, isIdle, signal} = this.#options;
    return (
      this.#requested < maxCalls &&
      performance.now() - this.#startedAt < maxMs &&
      !signal.aborted &&
      isIdle()
    );
  }

  async #makeConnections(ports: readonly number[]): Promise<void> {
    while (this.#shouldContinue) {
      const index = this.#connections++;
      const count = callsPerConnection[index % callsPerConnection.length] ?? 1;
      const port = ports[index % ports.length] ?? 0;
      this.#requested += count;
      const {sample: headers} = this.#options;
      const kind = kindOf(index);
      await makeCalls({port, kind, count, headers, variant: index});
    }
  }
}

function kindOf(connection: number): WarmUpKind {
  const {read, write, upload} = WARM_UP_KINDS;
  if (connection % uploadEvery === 0) return upload;
  return connection % writeEvery === 0 ? write : read;
}

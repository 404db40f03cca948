import {setTimeout as sleep} from 'node:timers/promises';
import {logger, seededRandom} from '@verbenabeam/core';
import type {CallProtocol} from '../calls/index.js';
import type {WarmUpHeaders} from './warm-up-headers.js';
import {callInTurn} from './warm-up-caller.js';
import {WARM_UP_KINDS} from './warm-up-document.js';
import type {WarmUpKind} from './warm-up-document.js';
import {WarmUpNode} from './warm-up-node.js';
import {WarmUpUpstream} from './warm-up-upstream.js';

/** Options of {@link WarmUp}. @public */
export interface WarmUpOptions {
  readonly protocol: CallProtocol;
  readonly headers: WarmUpHeaders;
  /** False once the node has calls of its own. */
  readonly isIdle: () => boolean;
  readonly signal: AbortSignal;
  /** Calls after which the code counts as warm; default 4,000. */
  readonly maxCalls?: number;
  /** Longest time, in ms; default 8,000. */
  readonly maxMs?: number;
}

const defaults = {maxCalls: 4_000, maxMs: 8_000};
/** A node without calls for this time after its start has time to spare, in ms. */
const quietMs = 1_000;
/** Time between two looks for calls meanwhile, in ms. */
const lookMs = 50;
/** Connections at once; more than the slots of both nodes. */
const lanes = 8;
/** Calls on a connection: most callers that return make one. */
const callsPerConnection = [1, 2, 4] as const;
/** One connection in so many sends bodies. */
const uploadEvery = 16;
const writeEvery = 3;
const seed = 1;
const log = logger('warm-up');

/**
 * Makes calls through the code of the call path, against a stand-in in the same
 * process, while the node has none of its own. Load pattern: the first seconds of
 * load, in which a call costs a multiple of what it costs once the compiler has
 * seen it some thousand times. It touches neither the upstream nor other nodes
 * and leaves no trace in metrics.
 *
 * @public
 */
export class WarmUp {
  readonly #options: Required<WarmUpOptions>;
  #connections = 0;
  /** Calls that were asked of the lanes. */
  #asked = 0;
  #calls = 0;
  #startAt = 0;

  constructor(options: WarmUpOptions) {
    this.#options = {...defaults, ...options};
  }

  /** Calls that ended, known when the warm-up is over; 0 before. */
  get calls(): number {
    return this.#calls;
  }

  /**
   * Resolves when the code is warm, time is up or the node has calls. A node that
   * has calls soon after its start makes none here: it restarts under load.
   */
  async run(): Promise<void> {
    if (!(await this.#staysQuiet())) return;
    const {protocol, headers: sample} = this.#options;
    this.#startAt = performance.now();
    const random = seededRandom(seed);
    const upstream = new WarmUpUpstream(sample);
    await upstream.start();
    const nodes = ['warm-up-1', 'warm-up-2'].map(
      nodeId =>
        new WarmUpNode({
          nodeId,
          protocol,
          random,
          upstreamAddress: upstream.address,
        }),
    );
    for (const node of nodes) await node.start();
    for (const node of nodes) node.know(nodes);
    const ports = nodes.map(({port}) => port);
    await Promise.all(Array.from({length: lanes}, () => this.#lane(ports)));
    this.#calls = nodes.reduce((sum, {calls}) => sum + calls, 0);
    await Promise.all(nodes.map(node => node.close()));
    upstream.close();
    const ms = Math.round(performance.now() - this.#startAt);
    const {isIdle} = this.#options;
    log('Code has been warmed up.', {calls: this.#calls, ms, idle: isIdle()});
  }

  async #staysQuiet(): Promise<boolean> {
    const {isIdle, signal} = this.#options;
    const until = performance.now() + quietMs;
    while (performance.now() < until) {
      if (!isIdle() || signal.aborted) return false;
      await sleep(lookMs);
    }
    return isIdle();
  }

  get #goesOn(): boolean {
    const {maxCalls, maxMs, isIdle, signal} = this.#options;
    return (
      this.#asked < maxCalls &&
      performance.now() - this.#startAt < maxMs &&
      !signal.aborted &&
      isIdle()
    );
  }

  async #lane(ports: readonly number[]): Promise<void> {
    while (this.#goesOn) {
      const at = this.#connections++;
      const count = callsPerConnection[at % callsPerConnection.length] ?? 1;
      const port = ports[at % ports.length] ?? 0;
      this.#asked += count;
      const {headers: sample} = this.#options;
      await callInTurn({port, kind: kindOf(at), count, sample});
    }
  }
}

function kindOf(connection: number): WarmUpKind {
  const {read, write, upload} = WARM_UP_KINDS;
  if (connection % uploadEvery === 0) return upload;
  return connection % writeEvery === 0 ? write : read;
}

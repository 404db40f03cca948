import {seededRandom} from '@verbenabeam/core';
import {Pool} from 'undici';
import {runOpenLoop} from './open-loop.js';
import type {OpenLoopResult} from './open-loop.js';

const connections = 64;
const seed = 1;

/** Ways from the load generator to the upstream. @internal */
export const CALL_PATHS = {
  /** To the upstream itself. */
  direct: 'direct',
  /** Through two processes that only pass bytes on. */
  relay: 'relay',
  /** Through entry and serving node. */
  mesh: 'mesh',
} as const;

/** One of the values of {@link CALL_PATHS}. @internal */
export type CallPath = (typeof CALL_PATHS)[keyof typeof CALL_PATHS];

/** All paths, in the order in which their windows alternate. @internal */
export const allCallPaths: readonly CallPath[] = Object.values(CALL_PATHS);

/** The load on a path. @internal */
export interface CallLoad {
  readonly url: string;
  readonly rate: number;
  readonly bytes: number;
  readonly seconds: number;
}

/** Connections to the start of each path. @internal */
export class CallPaths {
  readonly #pools: Readonly<Record<CallPath, Pool>>;
  readonly #random = seededRandom(seed);

  /** @param addresses - `ip:port` where each path begins. */
  constructor(addresses: Readonly<Record<CallPath, string>>) {
    const open = (path: CallPath) =>
      new Pool(`http://${addresses[path]}`, {connections});
    this.#pools = {
      direct: open(CALL_PATHS.direct),
      relay: open(CALL_PATHS.relay),
      mesh: open(CALL_PATHS.mesh),
    };
  }

  /** Runs one window on one path. */
  run(path: CallPath, load: CallLoad): Promise<OpenLoopResult> {
    return runOpenLoop({
      pool: this.#pools[path],
      path: load.url,
      body: Buffer.alloc(load.bytes, 'x'),
      callsPerSecond: load.rate,
      seconds: load.seconds,
      random: this.#random,
    });
  }

  async close(): Promise<void> {
    await Promise.all(Object.values(this.#pools).map(pool => pool.destroy()));
  }
}

import type {Fault} from './faults.js';

/** Options of an upstream. @public */
export interface StandinOptions {
  readonly service: string;
  readonly version: string;
  /** Default `127.0.0.1`. */
  readonly host?: string;
  /** Default 0, a free port. */
  readonly port?: number;
  /** Requests that run at once. Default 12. */
  readonly slots?: number;
  /** Requests that wait for a slot; more are shed. Default 12. */
  readonly queueLimit?: number;
  /** Time in which it refuses requests after its start. Default 0. */
  readonly coldStartMs?: number;
  /** Service time without faults, in ms. Default 0. */
  readonly serviceMs?: number;
  /** Default: none. */
  readonly faults?: readonly Fault[];
  /** Health and load endpoints always show a healthy, idle upstream. */
  readonly misleading?: boolean;
  /** URL of the node beside it, without path. Default: no announcements. */
  readonly node?: string;
  /** Default 1000. */
  readonly announceEveryMs?: number;
  /** Seed of the fault shares. Default 1. */
  readonly seed?: number;
  /** File that gets a line per execution, which survives a kill. Default: none. */
  readonly runLog?: string;
  /** Time in which it still takes requests after it announced leaving. Default 0. */
  readonly lingerMs?: number;
  /** Called by a crashing request after the connections were cut. */
  readonly onCrash?: () => void;
}

/** Options with defaults applied. @internal */
export type StandinSettings = Required<
  Omit<StandinOptions, 'node' | 'runLog'>
> & {
  readonly node: string | null;
  readonly runLog: string | null;
};

/** Applies the defaults. @internal */
export function standinSettings(options: StandinOptions): StandinSettings {
  return {
    host: '127.0.0.1',
    port: 0,
    slots: 12,
    queueLimit: 12,
    coldStartMs: 0,
    serviceMs: 0,
    faults: [],
    misleading: false,
    announceEveryMs: 1000,
    seed: 1,
    lingerMs: 0,
    onCrash: () => undefined,
    ...options,
    node: options.node ?? null,
    runLog: options.runLog ?? null,
  };
}

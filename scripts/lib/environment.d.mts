/** Types of `environment.mjs`, for the tests in TypeScript. */
import type {ChildProcess} from 'node:child_process';

export interface Started {
  readonly child: ChildProcess;
  readonly exited: Promise<unknown>;
  readonly info: Record<string, string>;
  /** What it wrote to its error output so far. */
  readonly log: () => string;
}

export interface Ended {
  readonly status: number | null;
  readonly out: string;
  readonly err: string;
}

export interface InstanceSpec {
  readonly name: string;
  readonly service: string;
  readonly version?: string;
  readonly dataCentre: string;
  readonly environment?: string;
  /** False starts a node without an upstream. */
  readonly upstream?: false;
  readonly upstreamArgs?: readonly string[];
  /** TOML that is added to the settings of the node. */
  readonly settings?: string;
}

export interface Instance extends Omit<InstanceSpec, 'upstream'> {
  readonly node: Started;
  upstream: Started | null;
}

export const operatorToken: string;
export const nodeKey: string;
export function startProcess(
  args: readonly string[],
  options?: {readonly env?: Record<string, string>},
): Promise<Started>;
export function runProcess(
  args: readonly string[],
  env?: Record<string, string>,
): Promise<Ended>;
export function stopProcess(started: Started): Promise<boolean>;
export function killProcess(started: Started): Promise<void>;
export function waitUntil(
  check: () => unknown,
  what: string,
  timeoutMs?: number,
): Promise<void>;

export class Environment {
  constructor(options?: {
    readonly environment?: string;
    readonly env?: Record<string, string>;
  });
  readonly folder: string;
  readonly store: Started;
  instances: Instance[];
  startStore(): Promise<Started>;
  untilReady(): Promise<void>;
  startInstance(spec: InstanceSpec): Promise<Instance>;
  startUpstream(
    spec: Omit<InstanceSpec, 'upstream'> & {readonly node: Started},
  ): Promise<Started>;
  cliAt(
    instance: Instance,
    args: readonly string[],
    token?: string,
  ): Promise<Ended>;
  killInstance(instance: Instance): Promise<void>;
  writeDocument(name: string, text: string): string;
  kill(): Promise<void>;
}

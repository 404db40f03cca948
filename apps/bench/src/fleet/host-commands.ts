import type {NodeAddresses} from '@verbenabeam/node';

/** How to start one node. @internal */
export interface NodeSpec {
  readonly id: string;
  readonly dataCentre: string;
  /** URL of the store stand-in. */
  readonly store: string;
  readonly seeds: readonly string[];
}

interface Counts {
  sent: number;
  received: number;
}

/** Bytes of one node since its start. @internal */
export interface NodeUsage {
  readonly control: Counts;
  readonly call: Counts;
  /** Control bytes sent, by kind of message. */
  readonly sentByKind: Readonly<Record<string, number>>;
}

/** Processor time and memory of one process. @internal */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly rss: number;
  readonly heapUsed: number;
}

/** When the nodes of a process held a version. @internal */
export interface Activation {
  /** Wall time in ms of the last node; 0 if there is none. */
  readonly lastAt: number;
  readonly missing: number;
}

/** Commands that a process with nodes takes. @internal */
export interface HostCommands {
  start(specs: readonly NodeSpec[]): Promise<NodeAddresses[]>;
  stop(ids: readonly string[]): Promise<void>;
  awaitVersion(wait: {
    readonly version: number;
    readonly timeoutMs: number;
  }): Promise<Activation>;
  /** Members that each node believes to be alive, itself among them. */
  members(body: null): Promise<number[]>;
  /** Ready upstreams that each node knows. */
  candidates(body: null): Promise<number[]>;
  bytes(body: null): Promise<NodeUsage[]>;
  process(body: null): Promise<ProcessUsage>;
  /** Longest time in ms that the event loop stood still since the last call. */
  longestBlock(body: null): Promise<number>;
  /** Collects garbage, so that the heap shows what is in use. */
  collect(body: null): Promise<void>;
  /** Starts a byte relay to an address and returns its own address. */
  relay(target: string): Promise<string>;
}

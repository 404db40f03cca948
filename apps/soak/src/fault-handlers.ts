import type {KvStandin, ServerStandin} from '@verbenabeam/platform/fakes';
import type {ConfigWatch} from './config-watch.js';
import type {FaultLog} from './fault-log.js';
import type {LinkFault, LinkProxy} from './link-proxy.js';
import type {Machine} from './machine.js';
import type {Promises} from './promises.js';
import {NODE_ENDS} from './soak-node.js';
import {upstreamHandlers} from './upstream-faults.js';

/** One step of the plan; all of it is drawn before anything is known of the run. */
export interface FaultStep {
  readonly kind: string;
  readonly machine: Machine;
  /** Another machine. */
  readonly other: Machine;
  readonly ms: number;
  /** From 0 to 1, for what else the fault needs. */
  readonly x: number;
}

/** What handlers act on. */
export interface FaultWorld {
  readonly machines: readonly Machine[];
  readonly store: KvStandin;
  readonly storeProxy: LinkProxy;
  readonly configs: ConfigWatch;
  readonly log: FaultLog;
  readonly promises: Promises;
  /** Waits, or until faults must end. */
  readonly pause: (ms: number) => Promise<void>;
  /** The node has acknowledged that the upstream leaves. */
  readonly onLeft: (machine: Machine, server: ServerStandin) => void;
}

/** Injects a fault and ends it. */
export type FaultHandler = (
  world: FaultWorld,
  step: FaultStep,
) => Promise<void>;

/** Time in which a process that was told to stop must have ended. */
const stopWithinMs = 20_000;
const seriesGapMs = 400;
/** A series of configurations has at most this many. */
const maxSeries = 4;
const slowBytesPerSecond = 30_000;
const maxDelayMs = 600;
const maxAwayMs = 2_000;
const afterDrillMs = 1_000;
const serverError = 503;
/** Kind of the fault that a soak injects only on order. */
export const storeDrill = 'store comes back from a copy';

function restart(machine: Machine): void {
  if (machine.node.hasEnded) machine.startNode();
}

async function kill(world: FaultWorld, machine: Machine, ms: number) {
  const end = world.log.begin('kill', [machine.at]);
  const {node} = machine;
  node.signal('SIGKILL');
  if (!node.hasEnded) await node.exited;
  await world.pause(ms);
  restart(machine);
  end();
}

/** What follows SIGTERM, by `x`. */
const furtherSignals: readonly (readonly [number, NodeJS.Signals])[] = [
  [0.25, 'SIGTERM'],
  [0.35, 'SIGINT'],
  [0.45, 'SIGHUP'],
];

/**
 * Stops a node as planned, sometimes with a further signal, and starts it again.
 *
 * @returns False if the node could not be stopped, since it starts or ends.
 */
export async function stopNode(
  world: FaultWorld,
  {machine, ms, x}: Pick<FaultStep, 'machine' | 'ms' | 'x'>,
): Promise<boolean> {
  const {node} = machine;
  if (node.told !== NODE_ENDS.none || !node.hasBegun) return false;
  const end = world.log.begin('stop', [machine.at]);
  const stoppedAt = performance.now();
  node.signal('SIGTERM');
  const [, further] = furtherSignals.find(([below]) => x < below) ?? [];
  if (further) {
    await world.pause(x * seriesGapMs);
    node.signal(further);
  }
  const late = setTimeout(() => node.signal('SIGKILL'), stopWithinMs);
  if (!node.hasEnded) await node.exited;
  clearTimeout(late);
  const isInTime = performance.now() - stoppedAt < stopWithinMs;
  world.promises.check('stopEnds', isInTime, () => ({log: node.logFile}));
  end();
  await world.pause(ms / maxSeries);
  restart(machine);
  return true;
}

/** Handler of a fault of the links between a machine and another one. */
function wire(fault: (step: FaultStep) => Partial<LinkFault>): FaultHandler {
  return async ({log, pause}, step) => {
    const {kind, machine, other, ms} = step;
    if (machine === other) return;
    const end = log.begin(kind, [machine.at, other.at]);
    other.wire.set(machine.ip, fault(step));
    machine.wire.set(other.ip, swap(fault(step)));
    await pause(ms);
    other.wire.clear(machine.ip);
    machine.wire.clear(other.ip);
    end();
  };
}

/** The fault of the connections in the other direction. */
function swap(fault: Partial<LinkFault>): Partial<LinkFault> {
  const {holdsAnswers, holdsRequests} = fault;
  return {...fault, holdsAnswers: holdsRequests, holdsRequests: holdsAnswers};
}

/** Handler of a fault of one link: to the store, or to the upstream. */
function link(
  proxyOf: (world: FaultWorld, step: FaultStep) => LinkProxy,
  fault: (step: FaultStep) => Partial<LinkFault>,
): FaultHandler {
  return async (world, step) => {
    const {kind, machine, ms} = step;
    const proxy = proxyOf(world, step);
    const end = world.log.begin(kind, [machine.at]);
    proxy.set(machine.ip, fault(step));
    await world.pause(ms);
    proxy.clear(machine.ip);
    end();
  };
}

/** Handler that sets a fault of the store and takes it back. */
function store(
  set: (store: KvStandin) => void,
  clear: (store: KvStandin) => void = () => undefined,
): FaultHandler {
  return async ({store: target, log, pause}, {kind, ms}) => {
    const end = log.begin(kind, []);
    set(target);
    await pause(ms);
    clear(target);
    end();
  };
}

const toStore = ({storeProxy}: FaultWorld) => storeProxy;
const toUpstream = (_world: FaultWorld, {machine}: FaultStep) =>
  machine.upstream;
const delay = ({x}: FaultStep) => ({delayMs: x * maxDelayMs});
const oneWay = ({x}: FaultStep) =>
  x < 0.5 ? {holdsRequests: true} : {holdsAnswers: true};
const silent = () => ({holdsRequests: true, holdsAnswers: true});

/** Handlers by kind of fault. */
export const FAULT_HANDLERS: Readonly<Record<string, FaultHandler>> = {
  ...upstreamHandlers,
  freeze: async ({log, pause}, {machine, ms, x}) => {
    const {node} = machine;
    if (node.hasEnded) return;
    const end = log.begin('freeze', [machine.at]);
    const times = x < 0.2 ? 2 : 1;
    for (let i = 0; i < times; i++) node.signal('SIGSTOP');
    await pause(ms);
    for (let i = 0; i < times; i++) node.signal('SIGCONT');
    end();
  },
  kill: (world, {machine, ms}) => kill(world, machine, ms / 2),
  'kill some': async (world, {machine, other, ms, x}) => {
    const all = x < 0.3 ? world.machines : [...new Set([machine, other])];
    await Promise.all(all.map(each => kill(world, each, ms / 2)));
  },
  stop: async (world, step) => {
    await stopNode(world, step);
  },
  'stop some': async (world, {machine, other, ms, x}) => {
    const both = [...new Set([machine, other])];
    await Promise.all(
      both.map(each => stopNode(world, {machine: each, ms, x})),
    );
  },
  hup: async ({log, pause}, {machine, x}) => {
    const {node} = machine;
    if (node.hasEnded || !node.hasBegun) return;
    const end = log.begin('hup', [machine.at]);
    node.signal('SIGHUP');
    await pause(x * seriesGapMs);
    node.signal('SIGHUP');
    end();
  },
  'wire delay': wire(delay),
  'wire one way': wire(oneWay),
  'wire silent': wire(silent),
  'wire reset': async ({log, machines}, {machine}) => {
    const end = log.begin('wire reset', [machine.at]);
    for (const other of machines) {
      other.wire.reset(machine.ip);
      machine.wire.reset(other.ip);
    }
    end();
  },
  isolate: async ({log, machines, pause}, {machine, ms}) => {
    const all = machines.map(({at}) => at);
    const end = log.begin('isolate', all);
    for (const other of machines) {
      other.wire.set(machine.ip, silent());
      machine.wire.set(other.ip, silent());
    }
    await pause(ms);
    for (const other of machines) {
      other.wire.clear(machine.ip);
      machine.wire.clear(other.ip);
    }
    end();
  },
  'store link delay': link(toStore, delay),
  'store link one way': link(toStore, oneWay),
  'store link silent': link(toStore, silent),
  'store link reset': async ({log, storeProxy}, {machine}) => {
    const end = log.begin('store link reset', [machine.at]);
    storeProxy.reset(machine.ip);
    end();
  },
  'store away': store(
    ({faults}) => (faults.status = serverError),
    ({faults}) => (faults.status = 0),
  ),
  'store silent': store(
    ({faults}) => (faults.silent = true),
    ({faults}) => (faults.silent = false),
  ),
  'store slow': store(
    ({faults}) => (faults.bytesPerSecond = slowBytesPerSecond),
    ({faults}) => (faults.bytesPerSecond = 0),
  ),
  'store loses answers': store(
    ({faults}) => (faults.loseAnswers = true),
    ({faults}) => (faults.loseAnswers = false),
  ),
  'store forgets history': store(target => target.compact()),
  'store ends leases': store(target => target.expire()),
  'store connections silent': store(target => target.silenceConnections()),
  'upstream link delay': link(toUpstream, delay),
  'upstream link one way': link(toUpstream, oneWay),
  'upstream link silent': link(toUpstream, silent),
  'upstream link repeats': link(toUpstream, () => ({repeats: 2})),
  'upstream link reset': async ({log}, {machine}) => {
    const end = log.begin('upstream link reset', [machine.at]);
    machine.upstream.reset(machine.ip);
    end();
  },
  [storeDrill]: async ({store: target, configs, log, pause}, {kind, ms, x}) => {
    const copy = target.copy();
    await pause(ms);
    const end = log.begin(kind, []);
    await target.drill(copy, x * maxAwayMs);
    end();
    await pause(afterDrillMs);
    // Operators write again what the copy lacks.
    configs.put();
  },
  configs: async ({configs, pause}, {x}) => {
    const count = 1 + Math.floor(x * maxSeries);
    for (let i = 0; i < count; i++) {
      configs.put();
      await pause(x * seriesGapMs);
    }
  },
};

import {seededRandom} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {InstancePicker} from '../instance-picker.js';
import type {LoadReport} from '../load-report.js';
import type {Candidate, OutcomeReport} from '../picker-types.js';
import {Timeline} from './timeline.js';

/** Fault of an instance in the model. */
export interface Fault {
  readonly slowdown?: number;
  readonly reportsNoLoad?: boolean;
  readonly failsFast?: boolean;
}

/** Load balancing policy of one entry node. */
export interface Policy {
  pick(candidates: readonly Candidate[], now: number): string;
  report(report: OutcomeReport, now: number): void;
}

export type PolicyFactory = (rng: RandomSource) => Policy;

/** Results of one run of the model. */
export interface PoolFigures {
  readonly p99Ms: number;
  /** Share of the calls that went to instance 0, which has the fault. */
  readonly faultyShare: number;
}

const instances = 5;
const slots = 12;
const serviceMs = 10;
const entryNodes = 20;
const linkMs = 0.8;
const durationMs = 5000;
/** Calls before this time warm up the policies and do not count for p99. */
const warmUpMs = 1000;
/** Share of the capacity of the healthy instances. */
const load = 0.6;

class Server {
  running = 0;
  readonly waiting: (() => void)[] = [];
  constructor(readonly fault: Fault) {}

  report(): LoadReport {
    if (this.fault.reportsNoLoad) {
      return {inFlight: 0, queued: 0, slots, serviceMs: 0.1};
    }
    return {
      inFlight: this.running,
      queued: this.waiting.length,
      slots,
      serviceMs: serviceMs * (this.fault.slowdown ?? 1),
    };
  }
}

/** Open queueing model: 20 entry nodes and 5 instances with FIFO queues. */
export function runPool(
  seed: number,
  fault: Fault,
  factory: PolicyFactory,
): PoolFigures {
  const rng = seededRandom(seed);
  const time = new Timeline();
  const servers = Array.from({length: instances}, (_, i) => {
    return new Server(i === 0 ? fault : {});
  });
  const candidates = servers.map((_, i) => ({
    nodeId: String(i),
    dataCentre: 'a',
    slots,
    readySince: -Infinity,
  }));
  const policies = Array.from({length: entryNodes}, () => factory(rng));
  const latencies: number[] = [];
  const open = new Set<number[]>();
  let faulty = 0;
  let total = 0;

  const serve = (server: Server, answer: (failed: boolean) => void) => {
    if (server.fault.failsFast) {
      answer(true);
      return;
    }
    const start = () => {
      server.running++;
      const mean = serviceMs * (server.fault.slowdown ?? 1);
      time.after(exponential(rng, mean), () => {
        server.running--;
        answer(false);
        server.waiting.shift()?.();
      });
    };
    if (server.running < slots) start();
    else server.waiting.push(start);
  };

  const call = () => {
    const policy = rng.pick(policies);
    const nodeId = policy.pick(candidates, time.now);
    const server = servers[Number(nodeId)];
    if (!server) throw new Error(`policy chose unknown instance ${nodeId}`);
    const begin = time.now;
    total++;
    const started = [begin];
    if (begin > warmUpMs) open.add(started);
    if (nodeId === '0') faulty++;
    time.after(linkMs, () => {
      serve(server, failed => {
        const report = server.report();
        time.after(linkMs, () => {
          open.delete(started);
          const latencyMs = time.now - begin;
          if (!failed && begin > warmUpMs) latencies.push(latencyMs);
          const outcome = failed ? 'failed' : 'ok';
          policy.report({nodeId, outcome, latencyMs, load: report}, time.now);
        });
      });
    });
  };

  const ratePerMs = (load * (instances - 1) * slots) / serviceMs;
  const arrive = () => {
    call();
    time.after(exponential(rng, 1 / ratePerMs), arrive);
  };
  time.after(0, arrive);
  time.runUntil(durationMs);
  // A call without a response counts with the time it has waited so far.
  // Otherwise a growing queue would hide its slowest calls.
  for (const started of open) latencies.push(durationMs - (started[0] ?? 0));
  latencies.sort((a, b) => a - b);
  const p99Ms = latencies[Math.floor(latencies.length * 0.99)] ?? Infinity;
  return {p99Ms, faultyShare: faulty / total};
}

/** Policies that the tests compare. */
export const policies = {
  picker: rng => {
    const picker = new InstancePicker({dataCentre: 'a'});
    return {
      pick: (candidates, now) =>
        picker
          .pick('s', 'v1', candidates, now, rng)
          .map(c => c.nodeId)
          .unwrapOr(''),
      report: (report, now) => {
        picker.report(report, now);
      },
    };
  },
  roundRobin: rng => {
    let next = rng.below(instances);
    return {
      pick: candidates => candidates[next++ % candidates.length]?.nodeId ?? '',
      report: () => undefined,
    };
  },
  leastConnections: rng => {
    const open = new Map<string, number>();
    const openOf = (id: string) => open.get(id) ?? 0;
    return {
      pick: candidates => {
        const [first] = rng
          .shuffle(candidates)
          .sort((a, b) => openOf(a.nodeId) - openOf(b.nodeId));
        const id = first?.nodeId ?? '';
        open.set(id, openOf(id) + 1);
        return id;
      },
      report: ({nodeId}) => {
        open.set(nodeId, openOf(nodeId) - 1);
      },
    };
  },
  /** Power of two choices that trusts load reports; false reports mislead it. */
  believesReports: rng => {
    const cost = new Map<string, number>();
    return {
      pick: candidates => {
        const [a, b] = rng.shuffle(candidates).map(c => c.nodeId);
        const isLower = (cost.get(b ?? '') ?? 0) < (cost.get(a ?? '') ?? 0);
        return (isLower ? b : a) ?? '';
      },
      report: ({nodeId, load: l}) => {
        if (!l) return;
        cost.set(nodeId, ((l.inFlight + l.queued + 1) * l.serviceMs) / l.slots);
      },
    };
  },
  /** Round robin that skips an instance for 1 s after 5 failures. */
  fixedThreshold: rng => {
    let next = rng.below(instances);
    const failures = new Map<string, number>();
    const until = new Map<string, number>();
    return {
      pick: (candidates, now) => {
        const usable = candidates.filter(c => (until.get(c.nodeId) ?? 0) < now);
        return usable[next++ % usable.length]?.nodeId ?? '0';
      },
      report: ({nodeId, outcome}, now) => {
        const count = outcome === 'ok' ? 0 : (failures.get(nodeId) ?? 0) + 1;
        failures.set(nodeId, count % 5);
        if (count === 5) until.set(nodeId, now + 1000);
      },
    };
  },
} satisfies Record<string, PolicyFactory>;

/** Faults by name. */
export const faults = {
  healthy: {},
  slow: {slowdown: 10},
  falseLoad: {slowdown: 10, reportsNoLoad: true},
  fastErrors: {failsFast: true, reportsNoLoad: true},
} satisfies Record<string, Fault>;

/** Returns an exponentially distributed time with the given mean. */
export function exponential(rng: RandomSource, mean: number): number {
  return -mean * Math.log(1 - rng.float());
}

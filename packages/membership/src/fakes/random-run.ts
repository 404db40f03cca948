import type {FakeCluster, FakeNode} from './fake-cluster.js';

const faultyMs = 240_000;
const faultEveryMs = 12_000;
const maxPartitionMs = 90_000;
const settleMs = 240_000;

/** Largest values measured in a run. */
export interface RunFigures {
  worstMissingMs: number;
  worstGoneMs: number;
  /** Time from the last fault until all tables agree; Infinity if never. */
  agreedAfterMs: number;
}

type FaultKind = (cluster: FakeCluster, state: RunState) => void;

interface RunState {
  partitionedUntil: number;
  oneWay: Set<string>;
}

const faultKinds: Record<string, FaultKind> = {
  restart: cluster => {
    cluster.restart(cluster.rng.pick(cluster.nodes).index);
  },
  kill: cluster => {
    cluster.kill(cluster.rng.pick(cluster.nodes).index);
  },
  leave: cluster => {
    const [node] = cluster.rng.shuffle(cluster.live);
    if (!node) return;
    cluster.leave(node);
    node.up = false;
  },
  oneWayLink: (cluster, state) => {
    const [a, b] = cluster.rng.shuffle(cluster.nodes);
    if (a && b) state.oneWay.add(`${a.index}>${b.index}`);
  },
  dataCentreLost: cluster => {
    const lost = cluster.rng.below(3);
    for (const n of cluster.nodes) {
      if (cluster.dataCentreOf(n.index) === lost) cluster.kill(n.index);
    }
  },
  partition: (cluster, state) => {
    const ms = cluster.rng.below(maxPartitionMs);
    state.partitionedUntil = cluster.now + ms;
  },
  thirdRestarted: cluster => {
    for (const n of [...cluster.nodes]) {
      if (n.index % 3 === 0) cluster.restart(n.index);
    }
  },
  allBack: cluster => {
    for (const n of [...cluster.nodes]) if (!n.up) cluster.restart(n.index);
  },
};

/** Injects random faults for 4 minutes, then runs 4 minutes without faults. */
export function runRandomFaults(cluster: FakeCluster): RunFigures {
  const state: RunState = {partitionedUntil: -1, oneWay: new Set()};
  const figures = {worstMissingMs: 0, worstGoneMs: 0, agreedAfterMs: Infinity};
  const monitor = new DivergenceMonitor(cluster, state, figures);
  Object.assign(cluster.faults, {loss: 0.05, duplication: 0.05, delayMs: 60});
  cluster.faults.blocked = (from, to) => {
    if (state.oneWay.has(`${from}>${to}`)) return true;
    const apart = cluster.now < state.partitionedUntil;
    return apart && halfOf(from) !== halfOf(to);
  };
  const end = cluster.now + faultyMs;
  while (cluster.now < end) {
    faultKinds[cluster.rng.pick(Object.keys(faultKinds))]?.(cluster, state);
    if (state.oneWay.size > 3) state.oneWay.clear();
    cluster.run(faultEveryMs, () => {
      monitor.sample();
    });
  }
  faultKinds['allBack']?.(cluster, state);
  state.oneWay.clear();
  state.partitionedUntil = -1;
  Object.assign(cluster.faults, {loss: 0, duplication: 0});
  const faultsEndedAt = cluster.now;
  cluster.run(settleMs, () => {
    monitor.sample();
    if (!cluster.agrees()) figures.agreedAfterMs = Infinity;
    else if (figures.agreedAfterMs === Infinity) {
      figures.agreedAfterMs = cluster.now - faultsEndedAt;
    }
  });
  return figures;
}

function halfOf(index: number): number {
  return index % 2;
}

/** Measures how long tables differ from the live nodes, outside partitions. */
class DivergenceMonitor {
  readonly #missing = new Map<string, number>();
  readonly #gone = new Map<string, number>();

  constructor(
    readonly cluster: FakeCluster,
    readonly state: RunState,
    readonly figures: RunFigures,
  ) {}

  sample(): void {
    if (this.cluster.now < this.state.partitionedUntil) {
      this.#missing.clear();
      this.#gone.clear();
      return;
    }
    const ids = new Set(this.cluster.live.map(n => n.gossip.own.nodeId));
    const f = this.figures;
    for (const observer of this.cluster.live) {
      for (const subject of this.cluster.live) {
        const key = `${observer.gossip.own.nodeId}/${subject.gossip.own.nodeId}`;
        const isMissing = !this.cluster.sees(observer, subject);
        const ms = this.#age(this.#missing, key, isMissing);
        f.worstMissingMs = Math.max(f.worstMissingMs, ms);
      }
      this.#sampleGone(observer, ids);
    }
  }

  #sampleGone(observer: FakeNode, ids: ReadonlySet<string>): void {
    for (const {nodeId} of observer.gossip.table.live()) {
      const key = `${observer.gossip.own.nodeId}/${nodeId}`;
      const ms = this.#age(this.#gone, key, !ids.has(nodeId));
      this.figures.worstGoneMs = Math.max(this.figures.worstGoneMs, ms);
    }
  }

  #age(since: Map<string, number>, key: string, holds: boolean): number {
    if (!holds) {
      since.delete(key);
      return 0;
    }
    const first = since.get(key) ?? this.cluster.now;
    since.set(key, first);
    return this.cluster.now - first;
  }
}

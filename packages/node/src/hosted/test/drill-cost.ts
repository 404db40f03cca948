import {seededRandom} from '@verbenabeam/core';
import {DrillLinks} from './drill-bus.js';
import {DRILL_KEYS, DrillNode} from './drill-node.js';
import {DrillStore} from './drill-store.js';
import {VirtualTime} from './virtual-time.js';

const centres = ['a', 'b', 'c'] as const;
const startMs = 12_000;
const windowMs = 8_000;
const sliceMs = 1_000;
const awayMs = 300;
const copyAgeMs = 3_000;
/** Time after the return at which the operator writes again. */
const rewriteMs = 500;

/** Calls of the store by a whole fleet over a drill, and as long without one. */
export interface DrillCost {
  readonly calm: number;
  readonly drill: number;
  /** Highest number within a second of the drill. */
  readonly peak: number;
  /** Nodes that have what the operator wrote after the drill. */
  readonly upToDate: number;
  /** Nodes that watch the store in the end. */
  readonly watchers: number;
}

/** Measures in virtual time what a drill costs the store. */
export async function measureDrill(
  count: number,
  seed: number,
): Promise<DrillCost> {
  const time = new VirtualTime();
  const random = seededRandom(seed);
  const store = new DrillStore(time, random);
  const links = new DrillLinks(time);
  const write = (version: number) =>
    store.put(DRILL_KEYS.config, JSON.stringify({version}));
  const nodes = Array.from({length: count}, (_, i) => {
    const nodeId = `n${String(i).padStart(3, '0')}`;
    const address = `10.0.${i >> 7}.${(i & 127) + 1}:80`;
    return time.as(
      nodeId,
      () =>
        new DrillNode({
          nodeId,
          memberId: `${nodeId}.1`,
          dataCentre: centres[i % centres.length] ?? centres[0],
          address,
          time,
          random,
          store: store.client(nodeId),
          bus: links.bus(nodeId, `${nodeId}.1`, address),
          upstreamVersion: () => 'v0',
          isBad: () => false,
          onConfig: () => undefined,
          onTick: () => undefined,
          hasCalls: false,
        }),
    );
  });
  const slices = async (): Promise<number[]> => {
    const calls: number[] = [];
    for (let ms = 0; ms < windowMs; ms += sliceMs) {
      const before = store.calls;
      await time.advance(sliceMs, () => undefined);
      calls.push(store.calls - before);
    }
    return calls;
  };
  const sum = (calls: readonly number[]) => calls.reduce((a, b) => a + b, 0);
  time.install();
  try {
    write(1);
    for (const [i, node] of nodes.entries()) {
      time.as(`n${String(i).padStart(3, '0')}`, () => node.start());
    }
    await time.advance(startMs, () => undefined);
    const calm = sum(await slices());
    store.copy();
    await time.advance(copyAgeMs, () => undefined);
    write(2);
    await time.advance(sliceMs, () => undefined);
    store.drill(copyAgeMs + 2 * sliceMs, awayMs, () => {
      time.after(rewriteMs, () => write(2), '');
      time.after(2 * rewriteMs, () => write(3), '');
    });
    const calls = await slices();
    const upToDate = nodes.filter(({version}) => version === 3).length;
    const watchers = nodes.filter(n => n.membership.own.relay).length;
    const peak = Math.max(...calls);
    return {calm, drill: sum(calls), peak, upToDate, watchers};
  } finally {
    for (const node of nodes) node.abort();
    time.uninstall();
  }
}

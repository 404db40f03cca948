import type {RandomSource} from '@verbenabeam/core';
import {FAULT_KINDS} from './day.js';
import type {Day, DayFault} from './day.js';
import type {EmulatedNode} from './emulated-node.js';
import type {Timeline} from './timeline.js';

const msPerSecond = 1_000;

/** The troubles of a day: what they do and when. @internal */
export class Troubles {
  readonly #day: Day;
  readonly #timeline: Timeline;
  readonly #random: RandomSource;
  /** Time by which the work of an instance is longer. */
  readonly #slowBy = new Map<string, number>();

  constructor(day: Day, timeline: Timeline, random: RandomSource) {
    this.#day = day;
    this.#timeline = timeline;
    this.#random = random;
  }

  /** Factor on the calls from outside. */
  loadFactor(now: number): number {
    return this.#day.faults
      .filter(({kind}) => kind === FAULT_KINDS.burst)
      .filter(fault => isOn(fault, now))
      .reduce((factor, fault) => factor * fault.factor, 1);
  }

  /** Factor on the time of the work at an instance. */
  slowBy(nodeId: string): number {
    return this.#slowBy.get(nodeId) ?? 1;
  }

  /** Plans all troubles on the nodes. */
  plan(nodes: readonly EmulatedNode[]): void {
    for (const fault of this.#day.faults) {
      const start = starters[fault.kind];
      const at = fault.at_s * msPerSecond;
      this.#timeline.at(at, () => {
        for (const node of this.#chosen(nodes, fault)) {
          start({fault, node, day: this.#day, slowBy: this.#slowBy}, end => {
            this.#timeline.after(end.afterMs, end.run);
          });
        }
      });
    }
  }

  #chosen(
    nodes: readonly EmulatedNode[],
    {service, share}: DayFault,
  ): readonly EmulatedNode[] {
    const all = nodes.filter(
      ({place}) => service === undefined || place.service === service,
    );
    return this.#random.shuffle(all).slice(0, Math.round(all.length * share));
  }
}

interface StartedFault {
  readonly fault: DayFault;
  readonly node: EmulatedNode;
  readonly day: Day;
  readonly slowBy: Map<string, number>;
}

type PlanEnd = (end: {afterMs: number; run: () => void}) => void;

const starters: Record<
  DayFault['kind'],
  (started: StartedFault, planEnd: PlanEnd) => void
> = {
  [FAULT_KINDS.burst]: () => undefined,
  [FAULT_KINDS.slow]: ({fault, node, slowBy}, planEnd) => {
    const {nodeId} = node.place;
    slowBy.set(nodeId, (slowBy.get(nodeId) ?? 1) * fault.factor);
    const run = () => {
      slowBy.set(nodeId, (slowBy.get(nodeId) ?? 1) / fault.factor);
    };
    planEnd({afterMs: fault.for_s * msPerSecond, run});
  },
  [FAULT_KINDS.lost]: ({fault, node}, planEnd) => {
    node.isUpstreamUp = false;
    const run = () => {
      node.isUpstreamUp = true;
    };
    planEnd({afterMs: fault.for_s * msPerSecond, run});
  },
  [FAULT_KINDS.restart]: ({node, day}, planEnd) => {
    node.isUp = false;
    node.processor.restart();
    const run = () => {
      node.isUp = true;
      node.restart();
    };
    planEnd({afterMs: day.nodes.start_ms, run});
  },
};

function isOn(fault: DayFault, now: number): boolean {
  const at = fault.at_s * msPerSecond;
  return now >= at && now < at + fault.for_s * msPerSecond;
}

import type {RandomSource} from '@verbenabeam/core';
import type {Candidate} from '@verbenabeam/routing';
import type {Day, DayKind} from './day.js';
import {EmulatedNode} from './emulated-node.js';
import type {Policy} from './policy.js';
import type {Timeline} from './timeline.js';

/** The nodes of a day and the links between them. @internal */
export class Fleet {
  readonly nodes: readonly EmulatedNode[];
  readonly #day: Day;
  readonly #byId: ReadonlyMap<string, EmulatedNode>;
  readonly #kinds: ReadonlyMap<string, DayKind>;

  constructor(
    day: Day,
    policy: Policy,
    timeline: Timeline,
    random: RandomSource,
  ) {
    this.#day = day;
    this.nodes = placesOf(day).map(
      place => new EmulatedNode(place, day, policy, timeline, random),
    );
    this.#byId = new Map(this.nodes.map(n => [n.place.nodeId, n]));
    this.#kinds = new Map(day.kinds.map(kind => [kind.route, kind]));
  }

  /** The instances of a service that take calls. */
  candidates(service: string): Candidate[] {
    return this.nodes
      .filter(n => n.place.service === service && n.isUp && n.isUpstreamUp)
      .map(({place}) => ({...place, readySince: -Infinity}));
  }

  node(nodeId: string): EmulatedNode | undefined {
    return this.#byId.get(nodeId);
  }

  kind(route: string): DayKind | undefined {
    return this.#kinds.get(route);
  }

  /** One way between two nodes, in ms. */
  linkMs(from: EmulatedNode, to: EmulatedNode): number {
    if (from === to) return 0;
    const isNear = from.place.dataCentre === to.place.dataCentre;
    return isNear ? this.#day.link_ms : this.#day.cross_link_ms;
  }
}

function placesOf(day: Day) {
  const nodes = day.instances.reduce((sum, {count}) => sum + count, 0);
  const services = new Map(day.services.map(s => [s.name, s]));
  const created = new Map<string, number>();
  return day.instances.flatMap(pool =>
    Array.from({length: pool.count}, () => {
      const {service} = pool;
      const {slots = 1, speeds = [1]} = services.get(service) ?? {};
      const index = created.get(service) ?? 0;
      created.set(service, index + 1);
      return {
        nodeId: `${service}-${index + 1}`,
        service,
        dataCentre: pool.data_centre,
        slots,
        speed: speeds[index % speeds.length] ?? 1,
        nodes,
      };
    }),
  );
}

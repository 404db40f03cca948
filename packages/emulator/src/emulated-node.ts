import type {RandomSource} from '@verbenabeam/core';
import {
  AdaptiveThrottle,
  InstancePicker,
  RetryBudget,
  RetryingCallers,
  SlotQueue,
} from '@verbenabeam/routing';
import type {AdmissionDecision} from '@verbenabeam/routing';
import type {Day} from './day.js';
import type {Policy} from './policy.js';
import {Processor} from './processor.js';
import type {Timeline} from './timeline.js';

/** Where a node runs, and its upstream. @internal */
export interface NodePlace {
  readonly nodeId: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly speed: number;
  /** Nodes of the day, which share the budget of retries. */
  readonly nodes: number;
}

/** Retries per call, and in a fleet at once, as the platform's bounds give. */
const retryShare = 0.14;
const retryBurst = 42;

/** A node with the upstream beside it, made of the product's decisions. @internal */
export class EmulatedNode {
  readonly place: NodePlace;
  readonly processor: Processor;
  /** Whether the node takes calls, and its upstream. */
  isUp = true;
  isUpstreamUp = true;
  /** Slot time that was used, in ms. */
  slotMs = 0;
  queue!: SlotQueue;
  picker!: InstancePicker;
  retries!: RetryBudget;
  returning: RetryingCallers | null = null;
  throttle: AdaptiveThrottle | null = null;
  /** Takes the decisions on calls that waited. */
  onDecisions: (decisions: readonly AdmissionDecision[]) => void = () =>
    undefined;
  readonly #policy: Policy;
  /** Added time of a call to another data centre. */
  readonly #linkMs: number;
  readonly #random: RandomSource;
  readonly #timeline: Timeline;
  #expiryAt = Infinity;

  constructor(
    place: NodePlace,
    day: Day,
    policy: Policy,
    timeline: Timeline,
    random: RandomSource,
  ) {
    this.place = place;
    this.#policy = policy;
    this.#random = random;
    this.#timeline = timeline;
    this.processor = new Processor(day.nodes, timeline);
    this.#linkMs = day.cross_link_ms - day.link_ms;
    this.#create();
  }

  /** Forgets all that the process knew. */
  restart(): void {
    this.processor.restart();
    this.#create();
  }

  /** Refuses waiting calls when their time comes. */
  watchQueue(): void {
    const at = this.queue.nextExpiry ?? Infinity;
    if (at === Infinity || at >= this.#expiryAt) return;
    this.#expiryAt = at;
    this.#timeline.at(at, () => {
      this.#expiryAt = Infinity;
      this.onDecisions(this.queue.expire(this.#timeline.now));
      this.watchQueue();
    });
  }

  #create(): void {
    const linkMs = this.#linkMs;
    const {slots, dataCentre, nodes} = this.place;
    const random = this.#random;
    this.queue = new SlotQueue({slots});
    this.picker = new InstancePicker({dataCentre, linkMs});
    this.retries = new RetryBudget({
      share: retryShare,
      burst: retryBurst / nodes,
    });
    this.returning = this.#policy.returning ? new RetryingCallers() : null;
    this.throttle = this.#policy.throttle
      ? new AdaptiveThrottle({random})
      : null;
  }
}

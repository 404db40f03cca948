import type {Day} from './day.js';
import type {Timeline} from './timeline.js';

/** What a step of a node's work costs. @internal */
export type Step = 'refusal' | 'rest';

/**
 * Processor of one node: one step after the other, at the node's part of a core.
 * A process that has just started needs more time for each, because its code is
 * not optimised yet.
 *
 * @internal
 */
export class Processor {
  /** Time that the steps have taken, in ms. */
  busyMs = 0;
  readonly #settings: Day['nodes'];
  readonly #timeline: Timeline;
  #freeAt = 0;
  #steps = 0;
  /** Changes with each restart; steps of an earlier process are dropped. */
  process = 0;

  constructor(settings: Day['nodes'], timeline: Timeline) {
    this.#settings = settings;
    this.#timeline = timeline;
  }

  /** Runs `then` once the step has had its time, unless the process ends. */
  run(step: Step, then: () => void): void {
    const {cores} = this.#settings;
    const tookMs = this.#cost(step) / cores;
    this.#steps++;
    this.#freeAt = Math.max(this.#freeAt, this.#timeline.now) + tookMs;
    this.busyMs += tookMs;
    const {process} = this;
    this.#timeline.at(this.#freeAt, () => {
      if (process === this.process) then();
    });
  }

  /** Ends the process; the next one is cold. */
  restart(): void {
    this.process++;
    this.#steps = 0;
    this.#freeAt = this.#timeline.now;
  }

  #cost(step: Step): number {
    const {call_ms, cold_call_ms, warm_calls, refusal_ms} = this.#settings;
    const cold = 2 ** (-this.#steps / warm_calls);
    const slowdown = 1 + cold * (cold_call_ms / call_ms - 1);
    const ms = step === 'refusal' ? refusal_ms : call_ms - refusal_ms;
    return Math.max(0, ms) * slowdown;
  }
}

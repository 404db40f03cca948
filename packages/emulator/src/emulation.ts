import {seededRandom} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {Day, DayKind} from './day.js';
import {CallPath} from './call-path.js';
import {CALL_ENDS} from './emulated-call.js';
import type {CallEnd} from './emulated-call.js';
import {Fleet} from './fleet.js';
import {fullPolicy} from './policy.js';
import type {Policy} from './policy.js';
import {Tally} from './tally.js';
import type {RouteFigures, WindowFigures} from './tally.js';
import {Timeline} from './timeline.js';
import {Troubles} from './troubles.js';

/** What a run gave. @public */
export interface Figures {
  readonly day: string;
  readonly seed: number;
  readonly policy: Policy;
  /** By route, for the calls from outside. */
  readonly routes: Readonly<Record<string, RouteFigures>>;
  readonly windows: readonly WindowFigures[];
}

/** Settings of {@link emulate}. @public */
export interface EmulateOptions {
  /** Default: that of the day. */
  readonly seed?: number;
  /** Default: the product as it is. */
  readonly policy?: Policy;
  /** Called now and then with the part that is done, 0 to 1. */
  readonly onProgress?: (done: number) => void;
}

const msPerSecond = 1_000;
/** A caller without a connection tries another node after this time, in ms. */
const reconnectMs = 1;
/** Share of the time left that a caller waits at most before it returns. */
const longestReturnShare = 1 / 3;

interface Caller {
  readonly id: string;
  readonly kind: DayKind;
  readonly firstAt: number;
  attempts: number;
}

/**
 * Plays a day in simulated time: callers, nodes with a part of a core, upstreams
 * with slots. The decisions are those of the product, unchanged. The same day,
 * seed and policy give the same figures.
 *
 * @public
 */
export function emulate(day: Day, options: EmulateOptions = {}): Figures {
  return new Emulation(day, options).run();
}

class Emulation {
  readonly #day: Day;
  readonly #seed: number;
  readonly #policy: Policy;
  readonly #options: EmulateOptions;
  readonly #timeline = new Timeline();
  readonly #random: RandomSource;
  readonly #troubles: Troubles;
  readonly #tally: Tally;
  readonly #path: CallPath;
  readonly #fleet: Fleet;
  #callers = 0;

  constructor(day: Day, options: EmulateOptions) {
    this.#day = day;
    this.#options = options;
    this.#seed = options.seed ?? day.seed;
    this.#policy = options.policy ?? fullPolicy;
    this.#random = seededRandom(this.#seed);
    const random = this.#random;
    const timeline = this.#timeline;
    this.#troubles = new Troubles(day, timeline, seededRandom(this.#seed + 1));
    const outside = day.kinds.filter(kind => kind.per_second > 0);
    const routes = outside.map(({route}) => route);
    this.#tally = new Tally(routes, day.seconds, day.window_s);
    this.#fleet = new Fleet(day, this.#policy, timeline, random);
    this.#path = new CallPath({
      fleet: this.#fleet,
      timeline,
      random,
      troubles: this.#troubles,
      onWaited: (route, ms) => this.#tally.waited(route, ms),
    });
  }

  run(): Figures {
    const {seconds, window_s, kinds, name} = this.#day;
    this.#troubles.plan(this.#fleet.nodes);
    for (const kind of kinds) this.#planArrival(kind);
    for (const window of this.#tally.windows) {
      const endS = Math.min(seconds, window.fromS + window_s);
      this.#timeline.runUntil(endS * msPerSecond);
      this.#measure(window, (endS - window.fromS) * msPerSecond);
      this.#options.onProgress?.(endS / seconds);
    }
    const longest = Math.max(...kinds.map(kind => kind.deadline_ms));
    this.#timeline.runUntil(seconds * msPerSecond + longest);
    return {
      day: name,
      seed: this.#seed,
      policy: this.#policy,
      routes: this.#tally.routes(),
      windows: this.#tally.windows,
    };
  }

  #planArrival(kind: DayKind): void {
    const {now} = this.#timeline;
    const rate = kind.per_second * this.#troubles.loadFactor(now);
    if (rate === 0) return;
    const gapMs = (-Math.log(1 - this.#random.float()) * msPerSecond) / rate;
    if (now + gapMs >= this.#day.seconds * msPerSecond) return;
    this.#timeline.after(gapMs, () => {
      this.#arrive(kind);
      this.#planArrival(kind);
    });
  }

  #arrive(kind: DayKind): void {
    const {now} = this.#timeline;
    const id = `${kind.route}-${this.#callers++}`;
    this.#tally.asked(kind.route, now);
    this.#attempt({id, kind, firstAt: now, attempts: 0});
  }

  #attempt(caller: Caller): void {
    const {id, kind, firstAt} = caller;
    const {caller_link_ms} = this.#day;
    const deadlineAt = firstAt + kind.deadline_ms;
    const entry = this.#random.pick(this.#fleet.nodes);
    caller.attempts++;
    if (!entry.isUp) {
      this.#return(caller, reconnectMs, 'failed');
      return;
    }
    this.#timeline.after(caller_link_ms, () => {
      this.#path.start({
        id: `${id}.${caller.attempts}`,
        kind,
        entry,
        isSubCall: false,
        key: id,
        targetAt: this.#timeline.now + kind.target_ms,
        deadlineAt: deadlineAt - caller_link_ms,
        done: (end, retryAfterMs) => {
          this.#timeline.after(caller_link_ms, () =>
            this.#ended(caller, end, retryAfterMs),
          );
        },
      });
    });
  }

  #ended(caller: Caller, end: CallEnd, retryAfterMs: number): void {
    const {kind, firstAt} = caller;
    const tookMs = this.#timeline.now - firstAt;
    if (end === CALL_ENDS.answered) {
      const isLate = tookMs > kind.target_ms;
      const isLost = tookMs > kind.deadline_ms;
      const outcome = isLost ? 'failed' : isLate ? 'late' : 'onTime';
      this.#tally.ended(kind.route, firstAt, outcome, tookMs);
    } else this.#return(caller, retryAfterMs, end);
  }

  /** Lets a caller return as long as it has time and attempts. */
  #return(
    caller: Caller,
    retryAfterMs: number,
    outcome: 'refused' | 'failed',
  ): void {
    const {kind, firstAt} = caller;
    const {now} = this.#timeline;
    const leftMs = firstAt + kind.deadline_ms - now;
    if (caller.attempts > kind.returns || leftMs <= 0) {
      this.#tally.ended(kind.route, firstAt, outcome, now - firstAt);
      return;
    }
    const pauseMs = Math.min(retryAfterMs, leftMs * longestReturnShare);
    this.#timeline.after(pauseMs, () => this.#attempt(caller));
  }

  #measure(window: WindowFigures, ms: number): void {
    const {nodes} = this.#fleet;
    const slots = nodes.reduce((sum, n) => sum + n.place.slots, 0);
    const slotMs = nodes.reduce((sum, n) => sum + n.slotMs, 0);
    const busyMs = nodes.reduce((sum, n) => sum + n.processor.busyMs, 0);
    window.slots = slotMs / (slots * ms);
    window.processor = busyMs / (nodes.length * ms);
    for (const node of nodes) {
      node.slotMs = 0;
      node.processor.busyMs = 0;
    }
  }
}

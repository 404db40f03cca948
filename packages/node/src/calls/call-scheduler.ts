import {chargedStallMs} from './event-loop-monitor.js';
import type {LoopDelay} from './event-loop-monitor.js';

/** Settings of {@link CallScheduler}. @public */
export interface CallSchedulerOptions {
  /** Default: the event loop is taken to keep up. */
  readonly loop?: LoopDelay | undefined;
  /** Time for starts in a turn of the event loop, in ms; default 10. */
  readonly budgetMs?: number;
  /** Clock in ms; default `performance.now`. */
  readonly now?: () => number;
  /** Runs a step after the next poll; default `setImmediate`. */
  readonly afterPoll?: (step: () => void) => void;
}

const defaultBudgetMs = 10;
/** Starts wait for a poll for this time after a turn used its budget, in ms. */
const busyMs = 500;
/** Polls in a row that accept a connection when more wait to be accepted. */
const backlogPolls = 2;
/** Starts wait at most this long for waiting connections, in ms. */
const maxAcceptMs = 25;
/** Time in which the end of a call that is read late is read too, in ms. */
const settleMs = 30;

/** A call that was read. @public */
export interface ScheduledCall {
  /**
   * Whether it may have waited unseen, as the first call of a connection does
   * until the connection is accepted. It starts after one more poll.
   */
  readonly mayBeStale?: boolean;
  /**
   * Whether it comes from another node. Such calls go first and do not wait for
   * connections: work has been done for them, and only this node can take them.
   */
  readonly fromNode?: boolean;
  /**
   * Whether it was read in the turn in which it came, as the later calls of a
   * connection are. It goes with the calls from other nodes: it may be made for a
   * running call, which holds a slot meanwhile.
   */
  readonly isPrompt?: boolean;
  /** Whether its end has been read. */
  isOver(): boolean;
  start(): void;
  /** Called in place of `start` when the call is over. */
  drop(): void;
}

/** Calls that wait to be started, in their order. */
interface Lane {
  readonly queue: ScheduledCall[];
  /** Calls at the head of the queue that were read before the last poll. */
  polled: number;
}

/**
 * Starts the calls that were read. Load pattern: a node behind its callers, after
 * a restart or a stall, reads calls whose callers have left. To start one costs
 * many times what reading it costs, so that a node which starts all of them stays
 * behind. Here a busy node starts calls for a bounded time in each turn of the
 * event loop and only after one more poll, which reads the ends; a call that has
 * ended costs nothing more. A node that keeps up starts them at once.
 *
 * Node.js accepts one connection in each turn. While every turn accepts one, more
 * are waiting, and turns that start calls would accept them later than they come:
 * starts of callers' calls wait until they have been accepted.
 *
 * @public
 */
export class CallScheduler {
  readonly #loop: LoopDelay | undefined;
  readonly #budgetMs: number;
  readonly #now: () => number;
  readonly #afterPoll: (step: () => void) => void;
  /** Calls that are known to be recent. */
  readonly #recent: Lane = {queue: [], polled: 0};
  readonly #fromCallers: Lane = {queue: [], polled: 0};
  #spentMs = 0;
  /** Time for starts in the last check phase, in ms. */
  #checkMs = 0;
  #busyUntil = -Infinity;
  #accepted = false;
  /** Turns in a row that accepted a connection, and the time of the first. */
  #accepting = {turns: 0, since: 0};
  #isArmed = false;

  constructor(options: CallSchedulerOptions = {}) {
    this.#loop = options.loop;
    this.#budgetMs = options.budgetMs ?? defaultBudgetMs;
    this.#now = options.now ?? (() => performance.now());
    this.#afterPoll = options.afterPoll ?? (step => void setImmediate(step));
  }

  /** Part of a stall that counts against the time that a call has left, in ms. */
  get chargedStallMs(): number {
    return chargedStallMs(this.#loop);
  }

  /** Calls that wait to be started. */
  get waiting(): number {
    return this.#recent.queue.length + this.#fromCallers.queue.length;
  }

  /** Starts a call, now or later, unless it is over by then. */
  run(call: ScheduledCall): void {
    if (this.#loop && this.#loop.lateMs > 0) {
      setTimeout(() => this.#take(call), settleMs);
    } else {
      this.#take(call);
    }
  }

  /** A connection of a caller was accepted. */
  onConnection(): void {
    this.#accepted = true;
    this.#arm();
  }

  #take(call: ScheduledCall): void {
    const isRecent = call.fromNode === true || call.isPrompt === true;
    const {queue} = isRecent ? this.#recent : this.#fromCallers;
    const waits =
      call.mayBeStale === true ||
      queue.length > 0 ||
      this.#spentMs >= this.#budgetMs ||
      (!isRecent && this.#isBehind);
    if (waits) queue.push(call);
    else this.#start(call);
    this.#arm();
  }

  /** Whether connections wait to be accepted, or starts used up a turn of late. */
  get #isBehind(): boolean {
    if (this.#accepting.turns >= backlogPolls) return true;
    return this.#now() < this.#busyUntil;
  }

  #start(call: ScheduledCall): void {
    if (call.isOver()) {
      call.drop();
      return;
    }
    const startAt = this.#now();
    call.start();
    this.#spentMs += this.#now() - startAt;
  }

  #arm(): void {
    if (this.#isArmed) return;
    this.#isArmed = true;
    this.#afterPoll(() => this.#turn());
  }

  #turn(): void {
    this.#isArmed = false;
    if (this.#spentMs >= this.#budgetMs) {
      this.#busyUntil = this.#now() + busyMs;
    }
    // What this turn spent before its check phase is not available any more.
    const beforeMs = this.#spentMs - this.#checkMs;
    this.#spentMs = beforeMs;
    const isAccepting = this.#isAccepting();
    this.#recent.polled = this.#recent.queue.length;
    this.#startPolled(this.#recent, 0);
    if (!isAccepting) this.#startPolled(this.#fromCallers, 1);
    this.#fromCallers.polled = this.#fromCallers.queue.length;
    this.#checkMs = this.#spentMs - beforeMs;
    this.#spentMs = this.#checkMs;
    if (this.waiting > 0 || this.#spentMs > 0) this.#arm();
  }

  /** Whether connections wait to be accepted, and starts wait for them. */
  #isAccepting(): boolean {
    const now = this.#now();
    const {turns, since} = this.#accepting;
    const isFirst = turns === 0;
    const isLong = turns > 0 && now - since > maxAcceptMs;
    const accepted = this.#accepted;
    this.#accepted = false;
    this.#accepting = accepted
      ? {turns: turns + 1, since: isFirst || isLong ? now : since}
      : {turns: 0, since: now};
    return this.#accepting.turns >= backlogPolls && !isLong;
  }

  /** @param least - Starts beyond the budget, so that no lane starves. */
  #startPolled(lane: Lane, least: number): void {
    const {queue, polled} = lane;
    let started = 0;
    while (started < polled) {
      if (started >= least && this.#spentMs >= this.#budgetMs) break;
      const call = queue[started++];
      if (call) this.#start(call);
    }
    queue.splice(0, started);
  }
}

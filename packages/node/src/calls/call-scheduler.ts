import {chargedStallMs} from './event-loop-monitor.js';
import type {LoopDelay} from './event-loop-monitor.js';

/** Settings of {@link CallScheduler}. @public */
export interface CallSchedulerOptions {
  /** Delay of the event loop. Default: no delay. */
  readonly loop?: LoopDelay | undefined;
  /** Time for starting calls in an event loop turn, in ms; default 10. */
  readonly budgetMs?: number;
  /** Clock in ms; default `performance.now`. */
  readonly now?: () => number;
  /** Runs a callback after the next poll phase; default `setImmediate`. */
  readonly afterPoll?: (step: () => void) => void;
}

const defaultBudgetMs = 10;
/** After a turn used up its budget, new calls queue for this time, in ms. */
const busyMs = 500;
/** Successive turns with an accepted connection that indicate an accept backlog. */
const backlogTurns = 2;
/** Longest time for which an accept backlog defers calls, in ms. */
const maxAcceptWaitMs = 25;
/** After a stall, time to read cancellations before a call starts, in ms. */
const stallReadMs = 30;

/** A call whose request head was read. @public */
export interface ScheduledCall {
  /**
   * Whether the call may have waited before it was read. The first call of a
   * connection waits until the connection is accepted. Such a call starts after
   * one more poll phase.
   */
  readonly mayBeStale?: boolean;
  /**
   * Whether the call comes through an entry node. Such calls have priority and
   * are not deferred by an accept backlog: work has already been spent on them,
   * and only this node can serve them.
   */
  readonly fromNode?: boolean;
  /**
   * Whether the call was read in the turn in which it arrived, like the later
   * calls of a connection. Such a call has the priority of calls from other nodes,
   * because it may be a sub-call of a running call, which holds a slot meanwhile.
   */
  readonly isPrompt?: boolean;
  /** Whether the call has ended, for example because its caller disconnected. */
  isOver(): boolean;
  start(): void;
  /** Called instead of `start` if the call has ended. */
  drop(): void;
}

/** Queue of calls that wait to be started, in order of arrival. */
interface Lane {
  readonly queue: ScheduledCall[];
  /** Calls at the head of the queue that were read before the last poll phase. */
  polled: number;
}

/**
 * Schedules the start of calls after their request heads were read.
 *
 * After a restart or a stall, an overloaded node reads calls whose callers have
 * already disconnected. Starting a call costs many times as much as reading it, so a node
 * that starts all of them stays overloaded. A busy node therefore starts calls for
 * a bounded time in each event loop turn, and only after one more poll phase, which
 * reads cancellations. Calls that have ended are dropped at no further cost. A node
 * that keeps up starts calls immediately.
 *
 * Node.js accepts one connection in each turn. While every turn accepts one, more
 * connections are probably waiting. Starting calls makes these turns longer, and
 * connections would arrive faster than they are accepted. Calls of callers are
 * therefore deferred until the backlog is accepted.
 *
 * @public
 */
export class CallScheduler {
  readonly #loop: LoopDelay | undefined;
  readonly #budgetMs: number;
  readonly #now: () => number;
  readonly #afterPoll: (step: () => void) => void;
  /** Calls that are known to be recent: from other nodes, or read promptly. */
  readonly #recent: Lane = {queue: [], polled: 0};
  readonly #fromCallers: Lane = {queue: [], polled: 0};
  #spentMs = 0;
  /** Time spent on starts in the last check phase, in ms. */
  #checkMs = 0;
  #busyUntil = -Infinity;
  #accepted = false;
  /** Successive turns that accepted a connection, and when they began. */
  #accepting = {turns: 0, since: 0};
  #isTurnScheduled = false;

  constructor(options: CallSchedulerOptions = {}) {
    this.#loop = options.loop;
    this.#budgetMs = options.budgetMs ?? defaultBudgetMs;
    this.#now = options.now ?? (() => performance.now());
    this.#afterPoll = options.afterPoll ?? (step => void setImmediate(step));
  }

  /** Part of the last stall that is deducted from a call's remaining time, in ms. */
  get chargedStallMs(): number {
    return chargedStallMs(this.#loop);
  }

  /** Number of calls that wait to be started. */
  get waiting(): number {
    return this.#recent.queue.length + this.#fromCallers.queue.length;
  }

  /** Starts a call now or later, or drops it if it has ended by then. */
  run(call: ScheduledCall): void {
    if (this.#loop && this.#loop.lateMs > 0) {
      setTimeout(() => this.#admit(call), stallReadMs);
    } else {
      this.#admit(call);
    }
  }

  /** Called when a connection of a caller was accepted. */
  onConnection(): void {
    this.#accepted = true;
    this.#scheduleTurn();
  }

  #admit(call: ScheduledCall): void {
    const isRecent = call.fromNode === true || call.isPrompt === true;
    const {queue} = isRecent ? this.#recent : this.#fromCallers;
    const waits =
      call.mayBeStale === true ||
      queue.length > 0 ||
      this.#spentMs >= this.#budgetMs ||
      (!isRecent && this.#isBusy);
    if (waits) queue.push(call);
    else this.#startCall(call);
    this.#scheduleTurn();
  }

  /** Whether there is an accept backlog, or a recent turn used up its budget. */
  get #isBusy(): boolean {
    if (this.#accepting.turns >= backlogTurns) return true;
    return this.#now() < this.#busyUntil;
  }

  #startCall(call: ScheduledCall): void {
    if (call.isOver()) {
      call.drop();
      return;
    }
    const startAt = this.#now();
    call.start();
    this.#spentMs += this.#now() - startAt;
  }

  #scheduleTurn(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    this.#afterPoll(() => this.#runTurn());
  }

  #runTurn(): void {
    this.#isTurnScheduled = false;
    if (this.#spentMs >= this.#budgetMs) {
      this.#busyUntil = this.#now() + busyMs;
    }
    // Time spent before the check phase of this turn counts against its budget.
    const beforeMs = this.#spentMs - this.#checkMs;
    this.#spentMs = beforeMs;
    const isAccepting = this.#updateAccepting();
    this.#recent.polled = this.#recent.queue.length;
    this.#startPolled(this.#recent, 0);
    if (!isAccepting) this.#startPolled(this.#fromCallers, 1);
    this.#fromCallers.polled = this.#fromCallers.queue.length;
    this.#checkMs = this.#spentMs - beforeMs;
    this.#spentMs = this.#checkMs;
    if (this.waiting > 0 || this.#spentMs > 0) this.#scheduleTurn();
  }

  /** Updates the accept backlog; returns whether it defers calls of callers. */
  #updateAccepting(): boolean {
    const now = this.#now();
    const {turns, since} = this.#accepting;
    const isFirst = turns === 0;
    const isLong = turns > 0 && now - since > maxAcceptWaitMs;
    const accepted = this.#accepted;
    this.#accepted = false;
    this.#accepting = accepted
      ? {turns: turns + 1, since: isFirst || isLong ? now : since}
      : {turns: 0, since: now};
    return this.#accepting.turns >= backlogTurns && !isLong;
  }

  /** @param minStarts - Calls to start even beyond the budget, against starvation. */
  #startPolled(lane: Lane, minStarts: number): void {
    const {queue, polled} = lane;
    let started = 0;
    while (started < polled) {
      if (started >= minStarts && this.#spentMs >= this.#budgetMs) break;
      const call = queue[started++];
      if (call) this.#startCall(call);
    }
    queue.splice(0, started);
  }
}

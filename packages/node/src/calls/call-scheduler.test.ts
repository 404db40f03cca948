import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CallScheduler} from './call-scheduler.js';

interface ReadCall {
  readonly readIn: number;
  readonly isPrompt: boolean;
  startedIn: number | null;
  isOver: boolean;
}

const pollMs = 20;

/** An event loop of polls and check phases, in simulated time. */
class SchedulerModel {
  readonly calls: ReadCall[] = [];
  readonly order: ReadCall[] = [];
  readonly #startMs: number;
  readonly #scheduler: CallScheduler;
  #now = 0;
  #poll = 0;
  #steps: (() => void)[] = [];
  longestTurnMs = 0;

  constructor(startMs: number, budgetMs?: number) {
    this.#startMs = startMs;
    this.#scheduler = new CallScheduler({
      ...(budgetMs === undefined ? {} : {budgetMs}),
      now: () => this.#now,
      afterPoll: step => this.#steps.push(step),
    });
  }

  get waiting(): number {
    return this.#scheduler.waiting;
  }

  /** Runs a poll that reads calls and, if asked, cancels all earlier ones. */
  poll(count: number, cancelsEarlier: boolean, prompt = 0): void {
    this.#poll++;
    this.#now += pollMs;
    const from = this.#now;
    if (cancelsEarlier) for (const call of this.calls) call.isOver = true;
    for (let i = 0; i < count; i++) this.#read(false);
    for (let i = 0; i < prompt; i++) this.#read(true);
    const steps = this.#steps;
    this.#steps = [];
    for (const step of steps) step();
    this.longestTurnMs = Math.max(this.longestTurnMs, this.#now - from);
  }

  #read(isPrompt: boolean): void {
    const call: ReadCall = {
      readIn: this.#poll,
      isPrompt,
      startedIn: null,
      isOver: false,
    };
    this.calls.push(call);
    this.#scheduler.run({
      ...(isPrompt ? {isPrompt} : {}),
      isOver: () => call.isOver,
      start: () => {
        this.#now += this.#startMs;
        call.startedIn = this.#poll;
        this.order.push(call);
      },
      drop: () => undefined,
    });
  }
}

let model = new SchedulerModel(0);

interface Caller {
  readonly at: number;
  readonly leavesAt: number;
  isOver: boolean;
}

const turnMs = 0.4;
/** Other work of a turn, such as responses and frames. */
const otherWorkMs = 2.4;

/**
 * Simulates a loop that accepts one connection per turn. The call of a connection
 * is read in the next turn, and its cancellation in the turn after that.
 *
 * @returns Share of the started calls whose callers had disconnected.
 */
function staleStarts(
  load: {perSecond: number; seconds: number; waiting: number; staysMs: number},
  startMs: number,
  isToldOfConnections: boolean,
): number {
  let now = 0;
  let steps: (() => void)[] = [];
  const scheduler = new CallScheduler({
    now: () => now,
    afterPoll: step => steps.push(step),
  });
  const callers: Caller[] = [];
  const add = (at: number) =>
    callers.push({at, leavesAt: at + load.staysMs, isOver: false});
  for (let i = 0; i < load.waiting; i++) add(0);
  for (let at = 0; at < load.seconds * 1_000; at += 1_000 / load.perSecond) {
    add(at);
  }
  let accepted: Caller[] = [];
  let read: Caller[] = [];
  let next = 0;
  let started = 0;
  let stale = 0;
  while (next < callers.length || scheduler.waiting > 0) {
    now += turnMs + (accepted.length > 0 ? otherWorkMs / 4 : otherWorkMs);
    for (const caller of read) caller.isOver = caller.leavesAt < now;
    for (const caller of accepted) {
      read.push(caller);
      scheduler.run({
        isOver: () => caller.isOver,
        start: () => {
          now += startMs;
          started++;
          if (caller.leavesAt < now) stale++;
        },
        drop: () => undefined,
      });
    }
    accepted = [];
    const waiting = callers[next];
    if (waiting && waiting.at <= now) {
      accepted = [waiting];
      next++;
      if (isToldOfConnections) scheduler.onConnection();
    }
    read = read.slice(-200);
    const due = steps;
    steps = [];
    for (const step of due) step();
  }
  return stale / started;
}

let staleShares = {known: 0, unknown: 0};

When(
  'callers of the call scheduler open {int} connections a second for {int} s behind a backlog of {int} and disconnect after {int} ms',
  (perSecond: number, seconds: number, waiting: number, staysMs: number) => {
    const load = {perSecond, seconds, waiting, staysMs};
    staleShares = {
      known: staleStarts(load, 2, true),
      unknown: staleStarts(load, 2, false),
    };
  },
);

Then(
  'at most {int}% of the calls that the call scheduler started are stale',
  (percent: number) => {
    const seen = JSON.stringify(staleShares);
    assert.ok(staleShares.known * 100 <= percent, seen);
  },
);

Then(
  'more than {int}% are stale if connections are not reported to the call scheduler',
  (percent: number) => {
    const seen = JSON.stringify(staleShares);
    assert.ok(staleShares.unknown * 100 > percent, seen);
  },
);

Given(
  'a call scheduler whose calls take {int} ms to start',
  (startMs: number) => (model = new SchedulerModel(startMs)),
);

When(
  'the call scheduler receives {int} calls in each of {int} polls',
  (count: number, polls: number) => {
    for (let i = 0; i < polls; i++) model.poll(count, false);
  },
);

function readWithEnds(count: number, polls: number): void {
  for (let i = 0; i < polls; i++) model.poll(count, true);
  while (model.waiting > 0) model.poll(0, true);
}

When(
  'the call scheduler receives {int} calls in each of {int} polls and their cancellations one poll later',
  readWithEnds,
);

When(
  'the call scheduler receives {int} calls in one poll that are not cancelled',
  (count: number) => {
    model.poll(count, false);
    while (model.waiting > 0) model.poll(0, false);
  },
);

When(
  'the call scheduler receives {int} more polls of {int} calls, each with one promptly read call',
  (polls: number, count: number) => {
    for (let i = 0; i < polls; i++) model.poll(count, false, 1);
    while (model.waiting > 0) model.poll(0, false);
  },
);

When(
  'the call scheduler receives {int} promptly read calls in one poll',
  (count: number) => {
    model.poll(0, false, count);
    while (model.waiting > 0) model.poll(0, false);
  },
);

Then(
  'the call scheduler started each promptly read call in the poll that read it',
  () => {
    const prompt = model.calls.filter(call => call.isPrompt);
    const later = prompt.filter(call => call.startedIn !== call.readIn);
    assert.ok(prompt.length > 0);
    assert.equal(later.length, 0);
  },
);

Then('the call scheduler started each call in the poll that read it', () => {
  const later = model.calls.filter(call => call.startedIn !== call.readIn);
  assert.equal(later.length, 0);
});

Then(
  'the call scheduler started at most {int}% of the calls',
  (percent: number) => {
    const share = (100 * model.order.length) / model.calls.length;
    assert.ok(share <= percent, `${share}% were started`);
  },
);

Then(
  'without a time limit per turn the call scheduler starts all calls',
  () => {
    model = new SchedulerModel(2, Infinity);
    readWithEnds(200, 10);
    assert.equal(model.order.length, model.calls.length);
  },
);

Then('the call scheduler started all calls in order', () => {
  assert.deepEqual(model.order, model.calls);
});

Then(
  'the call scheduler spent at most {int} ms of each turn on starts',
  (boundMs: number) => {
    assert.ok(model.longestTurnMs <= boundMs, `${model.longestTurnMs} ms`);
  },
);

const busyTurnMs = 3;
const callerStartMs = 2;
const peerStartMs = 1;
/** A call from another node is read once in this many turns. */
const peerEveryTurns = 4;
let peerWaitsMs: number[] = [];
let callersStarted = 0;

Given(
  'a call scheduler in a loop that accepts a connection and reads its call in every turn',
  () => {
    peerWaitsMs = [];
    callersStarted = 0;
  },
);

When(
  'the call scheduler also receives {int} calls from other nodes',
  (count: number) => {
    let now = 0;
    let steps: (() => void)[] = [];
    const scheduler = new CallScheduler({
      now: () => now,
      afterPoll: step => steps.push(step),
    });
    const read = (startMs: number, fromNode: boolean, onStart: () => void) =>
      scheduler.run({
        mayBeStale: !fromNode,
        fromNode,
        isOver: () => false,
        start: () => {
          onStart();
          now += startMs;
        },
        drop: () => undefined,
      });
    for (let turn = 0; turn < count * peerEveryTurns; turn++) {
      now += busyTurnMs;
      scheduler.onConnection();
      read(callerStartMs, false, () => callersStarted++);
      if (turn % peerEveryTurns === 0) {
        const readAt = now;
        read(peerStartMs, true, () => peerWaitsMs.push(now - readAt));
      }
      const due = steps;
      steps = [];
      for (const step of due) step();
    }
    const unstarted = count - peerWaitsMs.length;
    for (let i = 0; i < unstarted; i++) peerWaitsMs.push(Infinity);
  },
);

Then(
  'the call scheduler started each of these within {int} ms',
  (boundMs: number) => {
    const longest = Math.max(...peerWaitsMs);
    assert.ok(longest <= boundMs, `${longest} ms`);
  },
);

Then('the call scheduler also started calls of its own callers', () => {
  assert.ok(callersStarted > 0);
});

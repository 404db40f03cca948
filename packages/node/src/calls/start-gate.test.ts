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

/** A loop of polls and the steps after them, in simulated time. */
class GateModel {
  readonly calls: ReadCall[] = [];
  readonly order: ReadCall[] = [];
  readonly #startMs: number;
  readonly #gate: CallScheduler;
  #now = 0;
  #poll = 0;
  #steps: (() => void)[] = [];
  longestTurnMs = 0;

  constructor(startMs: number, budgetMs?: number) {
    this.#startMs = startMs;
    this.#gate = new CallScheduler({
      ...(budgetMs === undefined ? {} : {budgetMs}),
      now: () => this.#now,
      afterPoll: step => this.#steps.push(step),
    });
  }

  get waiting(): number {
    return this.#gate.waiting;
  }

  /** A poll that reads calls, or the ends of those of the poll before. */
  poll(count: number, endsBefore: boolean, prompt = 0): void {
    this.#poll++;
    this.#now += pollMs;
    const from = this.#now;
    if (endsBefore) for (const call of this.calls) call.isOver = true;
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
    this.#gate.run({
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

let model = new GateModel(0);

interface Caller {
  readonly at: number;
  readonly leavesAt: number;
  isOver: boolean;
}

const turnMs = 0.4;
/** Work of a turn beside the starts: answers and frames. */
const otherMs = 2.4;

/**
 * A loop that accepts one connection a turn. The call of a connection is read in
 * the turn after, the end of a caller that left in the turn after that.
 *
 * @returns Share of the started calls whose callers had left.
 */
function staleStarts(
  load: {perSecond: number; seconds: number; waiting: number; staysMs: number},
  startMs: number,
  knowsConnections: boolean,
): number {
  let now = 0;
  let steps: (() => void)[] = [];
  const gate = new CallScheduler({
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
  while (next < callers.length || gate.waiting > 0) {
    now += turnMs + (accepted.length > 0 ? otherMs / 4 : otherMs);
    for (const caller of read) caller.isOver = caller.leavesAt < now;
    for (const caller of accepted) {
      read.push(caller);
      gate.run({
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
      if (knowsConnections) gate.onConnection();
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
  'callers open {int} connections a second for {int} s after {int} wait, and leave after {int} ms',
  (perSecond: number, seconds: number, waiting: number, staysMs: number) => {
    const load = {perSecond, seconds, waiting, staysMs};
    staleShares = {
      known: staleStarts(load, 2, true),
      unknown: staleStarts(load, 2, false),
    };
  },
);

Then(
  'at most {int}% of the calls that the start gate started had callers that left',
  (percent: number) => {
    const seen = JSON.stringify(staleShares);
    assert.ok(staleShares.known * 100 <= percent, seen);
  },
);

Then(
  'if it does not know of connections more than {int}% had',
  (percent: number) => {
    const seen = JSON.stringify(staleShares);
    assert.ok(staleShares.unknown * 100 > percent, seen);
  },
);

Given(
  'a start gate whose calls take {int} ms to start',
  (startMs: number) => (model = new GateModel(startMs)),
);

When(
  'the start gate reads {int} calls in each of {int} polls',
  (count: number, polls: number) => {
    for (let i = 0; i < polls; i++) model.poll(count, false);
  },
);

function readWithEnds(count: number, polls: number): void {
  for (let i = 0; i < polls; i++) model.poll(count, true);
  while (model.waiting > 0) model.poll(0, true);
}

When(
  'the start gate reads {int} calls a poll for {int} polls and their ends one poll later',
  readWithEnds,
);

When(
  'the start gate reads {int} calls in one poll that do not end',
  (count: number) => {
    model.poll(count, false);
    while (model.waiting > 0) model.poll(0, false);
  },
);

When(
  'a call that was read in time comes with each of the next {int} polls of {int} calls',
  (polls: number, count: number) => {
    for (let i = 0; i < polls; i++) model.poll(count, false, 1);
    while (model.waiting > 0) model.poll(0, false);
  },
);

When(
  'the start gate reads {int} calls that were read in time in one poll',
  (count: number) => {
    model.poll(0, false, count);
    while (model.waiting > 0) model.poll(0, false);
  },
);

Then(
  'each start gate call that was read in time was started in the poll that read it',
  () => {
    const prompt = model.calls.filter(call => call.isPrompt);
    const later = prompt.filter(call => call.startedIn !== call.readIn);
    assert.ok(prompt.length > 0);
    assert.equal(later.length, 0);
  },
);

Then('each start gate call was started in the poll that read it', () => {
  const later = model.calls.filter(call => call.startedIn !== call.readIn);
  assert.equal(later.length, 0);
});

Then(
  'at most {int}% of the start gate calls were started',
  (percent: number) => {
    const share = (100 * model.order.length) / model.calls.length;
    assert.ok(share <= percent, `${share}% were started`);
  },
);

Then('with no bound of the time in a turn all of them are started', () => {
  model = new GateModel(2, Infinity);
  readWithEnds(200, 10);
  assert.equal(model.order.length, model.calls.length);
});

Then('all start gate calls were started in their order', () => {
  assert.deepEqual(model.order, model.calls);
});

Then(
  'no turn spent more than {int} ms with start gate calls',
  (boundMs: number) => {
    assert.ok(model.longestTurnMs <= boundMs, `${model.longestTurnMs} ms`);
  },
);

const busyTurnMs = 3;
const callerStartMs = 2;
const peerStartMs = 1;
/** A call from another node is read once in so many turns. */
const peerEveryTurns = 4;
let peerWaitsMs: number[] = [];
let callersStarted = 0;

Given(
  'a start gate whose turns all accept a connection and read its call',
  () => {
    peerWaitsMs = [];
    callersStarted = 0;
  },
);

When(
  '{int} calls from other nodes are read there among them',
  (count: number) => {
    let now = 0;
    let steps: (() => void)[] = [];
    const gate = new CallScheduler({
      now: () => now,
      afterPoll: step => steps.push(step),
    });
    const read = (startMs: number, fromNode: boolean, onStart: () => void) =>
      gate.run({
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
      gate.onConnection();
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
  'the start gate kept none of these for more than {int} ms',
  (boundMs: number) => {
    const longest = Math.max(...peerWaitsMs);
    assert.ok(longest <= boundMs, `${longest} ms`);
  },
);

Then('it started calls of its own callers meanwhile', () => {
  assert.ok(callersStarted > 0);
});

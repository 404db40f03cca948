import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {StartGate} from './start-gate.js';

interface ReadCall {
  readonly readIn: number;
  startedIn: number | null;
  isOver: boolean;
}

const pollMs = 20;

/** A loop of polls and the steps after them, in simulated time. */
class GateModel {
  readonly calls: ReadCall[] = [];
  readonly order: ReadCall[] = [];
  readonly #startMs: number;
  readonly #gate: StartGate;
  #now = 0;
  #poll = 0;
  #steps: (() => void)[] = [];
  longestTurnMs = 0;

  constructor(startMs: number, budgetMs?: number) {
    this.#startMs = startMs;
    this.#gate = new StartGate({
      ...(budgetMs === undefined ? {} : {budgetMs}),
      now: () => this.#now,
      afterPoll: step => this.#steps.push(step),
    });
  }

  get waiting(): number {
    return this.#gate.waiting;
  }

  /** A poll that reads calls, or the ends of those of the poll before. */
  poll(count: number, endsBefore: boolean): void {
    this.#poll++;
    this.#now += pollMs;
    const from = this.#now;
    if (endsBefore) for (const call of this.calls) call.isOver = true;
    for (let i = 0; i < count; i++) this.#read();
    const steps = this.#steps;
    this.#steps = [];
    for (const step of steps) step();
    this.longestTurnMs = Math.max(this.longestTurnMs, this.#now - from);
  }

  #read(): void {
    const call: ReadCall = {
      readIn: this.#poll,
      startedIn: null,
      isOver: false,
    };
    this.calls.push(call);
    this.#gate.run({
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

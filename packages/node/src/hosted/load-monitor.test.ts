import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CALL_CODES, setLogSink} from '@verbenabeam/core';
import type {LogFields} from '@verbenabeam/core';
import {LoadMonitor} from './load-monitor.js';

let monitor: LoadMonitor | null = null;
let lines: LogFields[] = [];
let processorUs = 0;

After({tags: '@hosted'}, () => setLogSink(null));

Given(
  'a load monitor of a node whose event loop is busy for {float} of the time',
  (busy: number) => {
    lines = [];
    processorUs = 0;
    setLogSink((part, _sentence, fields) => {
      if (part === 'load' && fields) lines.push(fields);
    });
    monitor = new LoadMonitor({
      load: () => ({inFlight: 11, queued: 4, slots: 11, serviceMs: 60}),
      callBytes: () => 0,
      waiting: () => 0,
      waits: () => new Map([['queue', {calls: 4, ms: 60}]]),
      turns: () => ({turns: 430, events: 780, lateMs: 62}),
      memory: () => ({heapUsed: 52_428_800, external: 8_388_608}),
      processorTime: () => ({user: processorUs, system: 0}),
      utilization: () => ({active: 0, idle: 0, utilization: busy}),
    });
  },
);

When(
  '{int} calls end at the monitored node, {int} of them refused',
  (calls: number, refused: number) => {
    const codes = Array.from({length: calls}, (_, i) =>
      i < refused ? CALL_CODES.queueFull : CALL_CODES.ok,
    );
    for (const code of codes) {
      const call = {code, route: 'orders', durationMs: 90, turnedAway: null};
      monitor?.recordCall(call);
    }
  },
);

When(
  '{int} calls are refused by the throttle of the monitored node',
  (calls: number) => {
    const turnedAway = {calls: 4, accepted: 1, retryAfterMs: 20};
    const code = CALL_CODES.throttled;
    for (let i = 0; i < calls; i++) {
      monitor?.recordCall({code, route: null, durationMs: 1, turnedAway});
    }
  },
);

When(
  'the threads of the monitored node use {int} ms of processor time',
  (ms: number) => {
    processorUs = ms * 1_000;
  },
);

When(
  'calls of route {string} hold their slots for {int} and {int} ms',
  (route: string, a: number, b: number) => {
    monitor?.recordSlotTime(route, a);
    monitor?.recordSlotTime(route, b);
  },
);

When('the window of the load monitor ends', () => monitor?.endWindow());

Then(
  'the load line has {string} with value {int}',
  (name: string, value: number) => {
    assert.equal(lines.length, 1);
    assert.equal(lines[0]?.[name], value);
  },
);

Then(
  'the load line has {string} with text {string}',
  (name: string, value: string) => {
    assert.deepEqual(lines[0]?.[name], [value]);
  },
);

Then('the load monitor has logged no line', () =>
  assert.equal(lines.length, 0),
);

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {seededRandom, systemClock} from '@verbenabeam/core';
import {encodePosition} from '@verbenabeam/store';
import {testSeed} from '@verbenabeam/testing';
import {Result} from 'true-myth';
import {ROLLOUT_STATES} from './operator-documents.js';
import {orderIdOf, STAGE_NOTICE} from './rollout-messages.js';
import {Rollouts} from './rollouts.js';
import type {RolloutsOptions} from './rollouts.js';

type NoticeHandler = (body: unknown, peer: {nodeId: string}) => void;

const service = 'shop';
let end = new AbortController();
let rollouts: Rollouts;
let revision = 10;

After({tags: '@hosted'}, () => end.abort());

/** Returns the position of the order. */
function order(targetVersion: string, era: number): number {
  const position = encodePosition(era, ++revision);
  const body = {service, targetVersion, durationMs: 5_000};
  rollouts.onOrder({order: body, revision: position});
  return position;
}

Given(
  'a node whose rollout to {string} was rolled back in era {int}',
  (target: string, era: number) => {
    end = new AbortController();
    const handlers = new Map<string, NoticeHandler>();
    rollouts = new Rollouts({
      bus: {
        onNotice: (kind: string, handler: NoticeHandler) =>
          handlers.set(kind, handler),
        notify: () => undefined,
      },
      membership: {own: {nodeId: 'a'}, live: () => []},
      store: {get: () => Promise.resolve(Result.ok(null))},
      format: {statusKey: (name: string) => name},
      bounds: {canaryShare: 0.1, canarySlack: 10},
      clock: systemClock,
      random: seededRandom(testSeed()),
      signal: end.signal,
    } as unknown as RolloutsOptions);
    rollouts.start();
    const stage = {
      service,
      ...orderIdOf(order(target, era)),
      state: ROLLOUT_STATES.rolledBack,
      share: 0,
      elapsedMs: 0,
    };
    handlers.get(STAGE_NOTICE)?.(stage, {nodeId: 'b'});
    assert.ok(rollouts.isStopped(service, target));
  },
);

When(
  /^the order to "(\w+)"(?: of a copy)? takes its place in era (\d+)$/,
  (target: string, era: string) => {
    order(target, Number(era));
  },
);

When(
  'the order to {string} is written again in era {int}',
  (target: string, era: number) => {
    order(target, era);
  },
);

Then(
  'the rollout of the node to {string} is still rolled back',
  (target: string) => {
    assert.deepEqual(rollouts.view(), []);
    assert.ok(rollouts.isStopped(service, target));
  },
);

Then('the node runs a rollout to {string}', (target: string) => {
  assert.deepEqual(
    rollouts.view().map(({version}) => version),
    [target],
  );
});

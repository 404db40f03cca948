import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {seededRandom, systemClock} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import {testSeed} from '@verbenabeam/testing';
import type {PeerBus} from '@verbenabeam/wire';
import {MembershipService} from '../membership/membership-service.js';
import {InstanceAdapter} from './instance-adapter.js';

const bus = {onNotice: () => undefined, notify: () => undefined};
const none: ReadonlySet<string> = new Set();

function record(nodeId: string, region: string): InstanceRecord {
  return {
    nodeId,
    incarnation: 1,
    sequence: 1,
    address: `127.0.0.1:${nodeId.charCodeAt(0)}`,
    dataCentre: `${region}-1`,
    region,
    environment: 'production',
    state: 'alive',
    upstream: {
      service: 's',
      version: 'v1',
      state: 'ready',
      slots: 12,
      readySince: 1,
    },
    relay: false,
    configVersion: 1,
  };
}

let membership: MembershipService;
let adapter: InstanceAdapter;

function startEntry(region: string): void {
  const random = seededRandom(testSeed());
  membership = new MembershipService({
    own: {...record('own', region), upstream: null},
    bus: bus as unknown as PeerBus,
    clock: systemClock,
    random,
    signal: AbortSignal.abort(),
  });
  adapter = new InstanceAdapter({membership, clock: systemClock, random});
}

function announce(state: string, version: string): void {
  const address = '127.0.0.1:7000';
  const body = {service: 's', version, address, slots: 12, state};
  assert.ok(membership.announce(body).isOk);
}

Given(
  'an entry node in region {string} with ready instances {string} in {string} and {string} in {string}',
  (region: string, a: string, regionA: string, b: string, regionB: string) => {
    startEntry(region);
    const {table} = membership.gossip;
    table.merge(record(a, regionA), 0);
    table.merge(record(b, regionB), 0);
  },
);

Then('{int} entry picks all go to {string}', (count: number, id: string) => {
  for (let i = 0; i < count; i++) {
    assert.equal(adapter.pick('s', 'v1', none)?.nodeId, id);
  }
});

Then(
  'an entry pick without {string} goes to {string}',
  (excluded: string, id: string) => {
    const target = adapter.pick('s', 'v1', new Set([excluded]));
    assert.equal(target?.nodeId, id);
  },
);

Given(
  'an entry node in region {string} whose upstream announced {string}',
  (region: string, state: string) => {
    startEntry(region);
    announce(state, 'v1');
  },
);

When(
  'the entry node drains and its upstream announces {string} as version {string}',
  (state: string, version: string) => {
    membership.drain();
    announce(state, version);
  },
);

Then('the entry node publishes its upstream as {string}', (state: string) => {
  assert.equal(membership.own.upstream?.state, state);
  assert.equal(membership.own.upstream.version, 'v2');
});

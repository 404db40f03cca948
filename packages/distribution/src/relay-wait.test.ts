import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import {candidateOf, distributorAt, environment} from './fakes/candidates.js';
import {CompileAhead, DistributionDriver, STORE_KEYS} from './index.js';
import type {ConfigPush} from './index.js';
import {encodeJson, encodeVersion} from './store-records.js';

const newVersion = 2;
const {hash, acceptedAt, text} = candidateOf(newVersion);
const metadata = {
  version: newVersion,
  hash,
  operationId: 'op',
  author: 'ana',
  acceptedAt,
  promotedFrom: null,
};

/** The push that node `b`, which accepted version 2, sends to node `a`. */
function pushOfAcceptor(): ConfigPush {
  const version = candidateOf(newVersion);
  const [effect] = distributorAt(1)
    .onStoreVersion(version, true, 1_000)
    .filter(row => row.type === 'push');
  assert.ok(effect);
  return {...effect.message, root: 'b'};
}

async function setUp(beforeRelayRead: (driver: DistributionDriver) => void) {
  const clock = new ManualClock();
  const store = new MemoryStore({clock, sleep: () => Promise.resolve()});
  const key = STORE_KEYS.version(environment, newVersion);
  const puts = [{key, value: encodeVersion({metadata, text})}];
  assert.ok((await store.txn({compares: [], puts})).isOk);
  const distributor = distributorAt(1);
  const pushed: string[] = [];
  const driver: DistributionDriver = new DistributionDriver({
    environment,
    distributor,
    store,
    clock,
    ahead: new CompileAhead(),
    isRelay: () => true,
    beforeRelayRead: () => Promise.resolve(beforeRelayRead(driver)),
    sender: {
      push: to => pushed.push(to),
      pull: () => Promise.resolve(Result.ok(null)),
      askDigest: () => Promise.resolve(Result.ok(null)),
    },
  });
  const readsBefore = store.counts.get;
  const head = {...metadata, recentOperations: []};
  driver.handleHead({
    key: STORE_KEYS.head(environment),
    value: encodeJson(head),
    revision: 2,
    createRevision: 1,
    lease: null,
  });
  await new Promise(setImmediate);
  const reads = store.counts.get - readsBefore;
  return {distributor, pushed, reads};
}

Then(
  'the distribution relay that gets the push while it waits reads no version',
  async () => {
    const {distributor, reads} = await setUp(driver => {
      assert.ok(driver.handlePush('b', pushOfAcceptor()).isOk);
    });
    assert.equal(distributor.digest.version, newVersion);
    assert.equal(reads, 0);
  },
);

Then(
  'the distribution relay that gets no push reads the version and pushes it',
  async () => {
    const {distributor, pushed, reads} = await setUp(() => undefined);
    assert.equal(distributor.digest.version, newVersion);
    assert.equal(reads, 1);
    assert.deepEqual(pushed.sort(), ['b', 'c']);
  },
);

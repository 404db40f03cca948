import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {ManualClock, MemoryStore} from '@verbenabeam/store/fakes';
import {RelayDriver, RelayPolicy} from './index.js';

const tickMs = 500;
const takeMs = 6_000;

function setUp() {
  const clock = new ManualClock();
  const store = new MemoryStore({clock, sleep: clock.sleep});
  const driver = new RelayDriver({
    policy: new RelayPolicy(seededRandom(1)),
    store,
    clock,
    environment: 'production',
    dataCentre: 'dc',
    address: '127.0.0.1:1',
    countRelays: () => 0,
    onHead: () => undefined,
  });
  const keys = () => store.state.range('/', true).map(({key}) => key);
  return {clock, store, driver, keys};
}

type Parts = ReturnType<typeof setUp>;

async function tickUntil({clock, driver}: Parts, isDone: () => boolean) {
  for (let ms = 0; ms < takeMs && !isDone(); ms += tickMs) {
    void driver.tick();
    await clock.advance(tickMs);
  }
  assert.ok(isDone());
}

Then('the distribution relay returns its slot when it stops', async () => {
  const parts = setUp();
  const {clock, driver, keys} = parts;
  await tickUntil(parts, () => driver.isRelay);
  assert.equal(keys().length, 1);
  await driver.stop();
  assert.deepEqual(keys(), []);
  for (let ms = 0; ms < takeMs; ms += tickMs) {
    await driver.tick();
    await clock.advance(tickMs);
  }
  assert.ok(!driver.isRelay);
  assert.deepEqual(keys(), []);
});

Then(
  'the distribution relay that stops during a take keeps no slot',
  async () => {
    const parts = setUp();
    const {clock, store, driver, keys} = parts;
    store.faults.writeMs = 600;
    await tickUntil(parts, () => store.counts.lease === 1 && !driver.isRelay);
    void driver.tick();
    const stopped = driver.stop();
    await clock.advance(3_000);
    await stopped;
    assert.deepEqual(keys(), []);
    assert.ok(!driver.isRelay);
  },
);

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CLAIM_CODES} from '@verbenabeam/core';
import {checkRunLogs} from './test/run-checks.js';
import {operatorToken} from './test/run-member.js';
import {RunWorld} from './test/run-world.js';

/** Time in which a notice reaches each of five nodes. */
const spreadMs = 5_000;
/** Time in which the ends of claims are recorded. */
const finishMs = 1_000;
const pollMs = 50;

let world: RunWorld;
After({tags: '@runs and @claims'}, () => world.close());

Given(
  'restored store nodes that have run {int} keys since a copy of the store',
  async (count: number) => {
    world = new RunWorld();
    await world.start();
    world.store.saveImage('copy');
    const [first] = world.up;
    assert.ok(first);
    const writes = Array.from({length: count}, () => world.callers.newWrite(9));
    const ends = await Promise.all(
      writes.map(write => world.callers.write(first, write)),
    );
    assert.deepEqual(new Set(ends), new Set(['ok']));
    await sleep(finishMs);
  },
);

// Guards against a second grant by an owner that never knew of the first.
When(
  'the store is restored and three restored store nodes are replaced',
  async () => {
    world.store.restoreImage('copy');
    for (const member of world.members.slice(1, 4)) {
      member.kill();
      await world.restart(member);
    }
    await world.until(
      () => world.up.every(m => world.versionOf(m) > 0),
      'the new nodes hold the version',
      spreadMs,
    );
  },
);

Then(
  'each restored store node refuses keys with {int} as not run or replays them',
  async (code: number) => {
    for (const member of world.up) {
      const {writes} = world.callers;
      await Promise.all(writes.map(w => world.callers.write(member, w)));
    }
    checkRunLogs(world);
    assert.deepEqual([...world.violations], []);
    assert.ok((world.callers.counts[code] ?? 0) > 0, 'nothing was refused');
  },
);

Then(
  'after an operator confirmed the restored store every node runs new keys',
  async () => {
    const [first] = world.up;
    assert.ok(first);
    const alarm = first.node.parts.claims.problem;
    assert.equal(alarm?.code, CLAIM_CODES.storeWentBack);
    const url = `http://${first.addresses.admin}/v1/store/confirm-restore`;
    const headers = {authorization: `Bearer ${operatorToken}`};
    const body = JSON.stringify({author: 'ana'});
    const res = await fetch(url, {method: 'POST', headers, body});
    assert.equal(res.status, 200, await res.text());
    const endAt = Date.now() + spreadMs;
    for (const member of world.up) {
      let end = '';
      while (end !== 'ok' && Date.now() < endAt) {
        end = await world.callers.write(member, world.callers.newWrite(1));
        await sleep(pollMs);
      }
      assert.equal(end, 'ok', `${member.name}: ${world.callers.lastRefusal}`);
    }
  },
);

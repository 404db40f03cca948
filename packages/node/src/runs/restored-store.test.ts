import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CLAIM_CODES} from '@verbenabeam/core';
import {checkRunLogs} from './test/run-log-checks.js';
import {operatorToken} from './test/test-instance.js';
import {TestMesh} from './test/test-mesh.js';

/** Time in which a notice reaches all five nodes. */
const spreadMs = 5_000;
/** Time in which finished claims are recorded in the store. */
const finishMs = 1_000;
const pollMs = 50;

let mesh: TestMesh;
After({tags: '@runs and @claims'}, () => mesh.close());

Given(
  'restored store nodes that have run {int} keys since a backup of the store',
  async (count: number) => {
    mesh = new TestMesh();
    await mesh.start();
    mesh.store.saveImage('copy');
    const [first] = mesh.up;
    assert.ok(first);
    const writes = Array.from({length: count}, () => mesh.callers.newWrite(9));
    const ends = await Promise.all(
      writes.map(write => mesh.callers.write(first, write)),
    );
    assert.deepEqual(new Set(ends), new Set(['ok']));
    await sleep(finishMs);
  },
);

// Guards against a new owner that grants a key again, because the restored store
// does not contain the first grant.
When(
  'the store is restored and three restored store nodes are replaced',
  async () => {
    mesh.store.restoreImage('copy');
    for (const instance of mesh.instances.slice(1, 4)) {
      instance.kill();
      await mesh.restart(instance);
    }
    await mesh.waitUntil(
      () => mesh.up.every(m => mesh.versionOf(m) > 0),
      'the new nodes have the configuration version',
      spreadMs,
    );
  },
);

Then(
  'each restored store node refuses keys with {int} as not run or replays them',
  async (code: number) => {
    for (const instance of mesh.up) {
      const {writes} = mesh.callers;
      await Promise.all(writes.map(w => mesh.callers.write(instance, w)));
    }
    checkRunLogs(mesh);
    assert.deepEqual([...mesh.violations], []);
    assert.ok(
      (mesh.callers.counts[code] ?? 0) > 0,
      'no call was refused with the expected code',
    );
  },
);

Then(
  'after an operator confirms the restored store every node runs new keys',
  async () => {
    const [first] = mesh.up;
    assert.ok(first);
    const alarm = first.node.parts.claims.problem;
    assert.equal(alarm?.code, CLAIM_CODES.storeWentBack);
    const url = `http://${first.addresses.admin}/v1/store/confirm-restore`;
    const headers = {authorization: `Bearer ${operatorToken}`};
    const body = JSON.stringify({author: 'ana'});
    const res = await fetch(url, {method: 'POST', headers, body});
    assert.equal(res.status, 200, await res.text());
    const endAt = Date.now() + spreadMs;
    for (const instance of mesh.up) {
      let end = '';
      while (end !== 'ok' && Date.now() < endAt) {
        end = await mesh.callers.write(instance, mesh.callers.newWrite(1));
        await sleep(pollMs);
      }
      assert.equal(end, 'ok', `${instance.name}: ${mesh.callers.lastRefusal}`);
    }
  },
);

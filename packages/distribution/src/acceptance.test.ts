import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {MeshError, seededRandom, STORE_CODES} from '@verbenabeam/core';
import type {Change} from '@verbenabeam/document';
import {compile} from '@verbenabeam/document';
import type {Store} from '@verbenabeam/store';
import {SimScheduler} from './fakes/sim-scheduler.js';
import {SimStore} from './fakes/sim-store.js';
import {Acceptance} from './index.js';
import type {Accepted, FleetView, VersionMetadata} from './index.js';

const environment = 'production';
const waitMs = 30_000;
/** Lets operators who start together read the same head. */
const readWaitMs = 50;

let scheduler: SimScheduler;
let acceptance: Acceptance;
let fleet: FleetView | 'unknown' | null;
let results: Result<Accepted, MeshError>[];
let fate: string | null;
let largestValue: number;
let operations: number;
let isUnreadable: boolean;

function textOf(timeout: string, extra = '') {
  return (
    `[services.s]\nversions = ["v1", "v2"]\ncurrent = "v1"\n` +
    `[[routes]]\nname = "r"\nservice = "s"\npath_prefix = "/"\n` +
    `timeout = "${timeout}"\n${extra}`
  );
}

/** Loses the response of the next transaction. */
function forgetful(store: SimStore): Store {
  const txn: Store['txn'] = async request => {
    if (fate === null) return store.txn(request);
    const applies = fate.startsWith('applies');
    const restores = fate.includes('restores');
    fate = null;
    if (applies) await store.txn(request);
    if (restores) store.restore();
    const code = STORE_CODES.unknownOutcome;
    return Result.err(new MeshError(code, code.text));
  };
  return {
    txn,
    get: async key => {
      if (isUnreadable && key.includes('/versions/')) {
        const code = STORE_CODES.unavailable;
        return Result.err(new MeshError(code, code.text));
      }
      const got = await store.get(key);
      await scheduler.wait(readWaitMs);
      return got;
    },
    list: prefix => store.list(prefix),
    grantLease: ttl => store.grantLease(ttl),
    keepAlive: id => store.keepAlive(id),
    revoke: id => store.revoke(id),
    watch: options => store.watch(options),
  };
}

async function finish<T>(call: Promise<T>): Promise<T> {
  await scheduler.advance(waitMs, () => undefined);
  return call;
}

function submit(text: string, author = 'ana', env = environment) {
  const operationId = `op${++operations}`;
  return acceptance.submit({environment: env, text, author, operationId});
}

async function submitAndNote(text: string) {
  results = [await finish(submit(text))];
}

function accepted(): Accepted {
  const res = results[0];
  assert.ok(res?.isOk, res?.isErr ? res.error.message : 'no result');
  return res.value;
}

Given('an acceptance store with 2 production versions', async () => {
  scheduler = new SimScheduler();
  [fleet, fate, largestValue, operations] = [null, null, 0, 0];
  isUnreadable = false;
  const store = new SimStore(scheduler, seededRandom(1), puts => {
    const sizes = puts.map(row => row.value.length);
    largestValue = Math.max(largestValue, ...sizes);
  });
  acceptance = new Acceptance({
    store: forgetful(store),
    clock: scheduler,
    fleet: () => fleet,
    sleep: ms => scheduler.wait(ms),
    pause: () => Promise.resolve(),
  });
  for (const timeout of ['1s', '2s']) await finish(submit(textOf(timeout)));
  await finish(submit(textOf('4s'), 'ana', 'trial'));
});

Given('the acceptance store {} the next response', (name: string) => {
  fate = name;
});

Given('the acceptance fleet has version {int}', (version: number) => {
  fleet = {version, active: {environment, version, hash: 'x'}};
});

Given('the acceptance versions cannot be read', () => {
  isUnreadable = true;
});

Given('the acceptance fleet is unknown', () => {
  fleet = 'unknown';
});

When('the acceptance operator submits timeout {string}', (timeout: string) =>
  submitAndNote(textOf(timeout)),
);

When('the acceptance operator submits a move with a past deadline', () =>
  submitAndNote(
    textOf(
      '2s',
      '[[moves]]\nid = "m"\nservice = "s"\nto = "v2"\n' +
        'deadline = 2025-12-31T00:00:00Z\n',
    ),
  ),
);

When('two acceptance operators submit at the same time', async () => {
  const calls = ['ana', 'bob'].map((author, i) =>
    submit(textOf(`${i + 5}s`), author),
  );
  results = await finish(Promise.all(calls));
});

When('the acceptance operator submits a change of version 1', async () => {
  const text = textOf('9s');
  const call = acceptance.submit({
    ...{environment, text, author: 'ana', operationId: 'x', baseVersion: 1},
  });
  results = [await finish(call)];
});

When(
  'the acceptance operator repeats the operation after another change',
  async () => {
    const {operationId} = accepted().metadata;
    await finish(submit(textOf('8s')));
    const text = textOf('9s');
    const again = {environment, text, author: 'ana', operationId};
    results = [await finish(acceptance.submit(again))];
  },
);

When("the acceptance operator reasserts the fleet's version", async () => {
  const document = compile(textOf('7s')).unwrapOrElse(err => {
    throw err;
  });
  const {hash} = document;
  const active = {environment, version: 7, hash, acceptedAt: 0, document};
  const operator = {author: 'ana', operationId: 'r'};
  results = [await finish(acceptance.reassert(active, operator))];
});

When(
  'the acceptance operator promotes trial version {int}',
  async (version: number) => {
    const from = {environment: 'trial', version};
    const operationId = `p${version}`;
    const call = acceptance.promote({
      ...{environment, from, author: 'ana', operationId},
    });
    results = [await finish(call)];
  },
);

When(
  'the acceptance operator submits a document at the size limit',
  async () => {
    const text = textOf('9s');
    const limit = 1_000_000;
    const rest = '#"\n'.repeat(Math.floor((limit - text.length) / 3));
    await submitAndNote(text + rest);
    accepted();
  },
);

Then(
  'the acceptance result is version {int} with the change {string}',
  (version: number, change: string) => {
    assert.equal(accepted().metadata.version, version);
    assert.equal(accepted().snapshot.version, version);
    const changes = accepted().changes.map(row => row.text);
    assert.deepEqual(changes, change === '' ? [] : [change]);
  },
);

Then(
  'the acceptance result is version {int} promoted from trial version {int}',
  (version: number, trial: number) => {
    const {metadata, snapshot} = accepted();
    assert.equal(metadata.version, version);
    const from = {environment: 'trial', version: trial};
    assert.deepEqual(metadata.promotedFrom, from);
    assert.equal(snapshot.document.routes[0]?.timeoutMs, 4_000);
  },
);

Then('the acceptance result is code {int}', (code: number) => {
  const res = results[0];
  assert.equal(res?.isErr && res.error.code.code, code);
});

Then(
  'one acceptance result is version {int} and the other code {int}',
  (version: number, code: number) => {
    results.sort((a, b) => Number(a.isErr) - Number(b.isErr));
    assert.equal(accepted().metadata.version, version);
    const other = results[1];
    assert.equal(other?.isErr && other.error.code.code, code);
  },
);

Then("the acceptance loser gets the winner's author and 1 change", () => {
  const other = results[1];
  assert.ok(other?.isErr);
  const details = other.error.details as {
    winner: VersionMetadata;
    changes: Change[];
  };
  assert.equal(details.winner.author, accepted().metadata.author);
  assert.equal(details.changes.length, 1);
});

Then(
  'the acceptance history lists versions {string}',
  async (versions: string) => {
    const rows = await finish(acceptance.archive.history(environment));
    const shown = rows.map(list => list.map(row => row.version).join(' '));
    assert.equal(shown.unwrapOr(''), versions);
  },
);

Then(
  'the acceptance diff of {int} and {int} has {int} change',
  async (from: number, to: number, count: number) => {
    const changes = await finish(
      acceptance.archive.diff(environment, from, to),
    );
    assert.equal(changes.isOk && changes.value.length, count);
  },
);

Then(
  'the acceptance store holds no value over {int} bytes',
  (limit: number) => {
    assert.ok(largestValue > 0 && largestValue <= limit, `${largestValue}`);
  },
);

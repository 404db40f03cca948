import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {candidateOf, distributorAt, environment} from './fakes/candidates.js';
import {
  configDigestSchema,
  configPullRequestSchema,
  configPullResponseSchema,
  configPushSchema,
  FullTextCap,
  parseMessage,
  pushTargets,
  RelayPolicy,
  StartInquiry,
} from './index.js';
import type {ConfigPush} from './index.js';

const lastVersion = 5;
const now = 1_000;

Then(
  'the distribution tree reaches {int} members once within depth {int}',
  (count: number, maxDepth: number) => {
    const members = Array.from({length: count}, (_, i) => `node-${i}`);
    for (const root of members.slice(0, 5)) {
      const reached = new Set([root]);
      let level = [root];
      let depth = 0;
      while (level.length > 0) {
        level = level.flatMap(self => pushTargets(members, root, self));
        for (const id of level) assert.ok(!reached.has(id) && reached.add(id));
        if (level.length > 0) depth++;
      }
      assert.equal(reached.size, count);
      assert.ok(depth <= maxDepth);
    }
  },
);

Then(
  'the distribution start is complete as this table says:',
  (table: DataTable) => {
    for (const row of table.hashes()) {
      const inquiry = new StartInquiry();
      const peers = Array.from(
        {length: Number(row['peers'])},
        (_, i) => `${i}`,
      );
      const hash = 'x';
      const store = Number(row['store']);
      if (row['store'] === 'down') inquiry.storeFailed();
      else if (store >= 0) inquiry.storeShows({version: store, hash});
      const answers = row['answers']!.split(' ').filter(Boolean);
      for (const [i, version] of answers.entries()) {
        inquiry.peerShows(`${i}`, {version: Number(version), hash});
      }
      const failed = peers.slice(
        answers.length,
        answers.length + Number(row['unreachable']),
      );
      for (const peer of failed) inquiry.peerFailed(peer);
      const shown = JSON.stringify(row);
      assert.equal(inquiry.isComplete(peers), row['complete'] === 'yes', shown);
      assert.equal(inquiry.highest, Number(row['highest']), shown);
    }
  },
);

Then(
  'a distribution start asks {int} peers at once when they become known',
  (count: number) => {
    const inquiry = new StartInquiry();
    const random = seededRandom(1);
    const active = {environment, version: 0, hash: ''};
    const asked = (peers: readonly string[], at: number) =>
      inquiry
        .questions(peers, active, random, at)
        .filter(effect => effect.type === 'askDigest').length;
    assert.equal(asked([], now), 0);
    const peers = Array.from({length: count}, (_, i) => `${i}`);
    assert.equal(asked(peers, now + 100), count);
    assert.equal(asked(peers, now + 200), 0);
  },
);

let waits: number[] = [];

Then(
  'the distribution cap serves {int} of {int} full texts at once',
  (served: number, asked: number) => {
    const cap = new FullTextCap();
    const random = seededRandom(1);
    waits = Array.from({length: asked}, () => cap.tryServe(now, random));
    assert.equal(waits.filter(ms => ms === 0).length, served);
    assert.equal(cap.tryServe(now + 250, random), 0);
  },
);

Then('the distribution cap spreads the retry times of the others', () => {
  const later = waits.filter(ms => ms > 0);
  assert.ok(Math.max(...later) - Math.min(...later) > 500);
});

function startWith(version: number, storeVersion: number | null) {
  const node = distributorAt(version);
  const seen = candidateOf(version);
  for (const peer of ['b', 'c']) node.onDigest(peer, seen, now);
  const head = storeVersion === null ? null : candidateOf(storeVersion);
  if (head) node.onStoreHead(head);
  return node;
}

Then(
  'a distribution node with version {int} is not ready while the store shows {int}',
  (version: number, shown: number) => {
    const node = startWith(version, shown);
    assert.equal(node.ready, false);
    node.onStoreVersion(candidateOf(shown), false, now);
    assert.equal(node.ready, true);
  },
);

Then(
  'a distribution node with version {int} is not ready before the store responds',
  (version: number) => {
    const node = startWith(version, null);
    assert.equal(node.ready, false);
    node.onStoreFailed();
    assert.equal(node.ready, true);
  },
);

Then(
  'a distribution node with version {int} is ready when the store shows {int}',
  (version: number, shown: number) =>
    assert.equal(startWith(version, shown).ready, true),
);

function pull(from: number, newerThan = from, times = 1) {
  const distributor = distributorAt(4, 5);
  const {hash} = candidateOf(from);
  const have = from === 0 ? {version: 0, hash: ''} : {version: from, hash};
  const ask = () =>
    distributor.onPullRequest({environment, have, newerThan}, now);
  const answers = Array.from({length: times}, ask);
  return answers.at(-1)!;
}

Then('a distribution pull from the last version is answered by a delta', () => {
  const res = pull(4);
  assert.ok(res.status === 'version' && 'delta' in res.value.content);
  const behind = distributorAt(4);
  behind.onPullResponse(res, now);
  assert.equal(behind.digest.version, lastVersion);
});

Then('a distribution pull from nothing is answered by the full text', () => {
  const res = pull(0);
  assert.ok(res.status === 'version' && 'text' in res.value.content);
});

Then('a distribution pull over the cap is answered by a time to wait', () => {
  const res = pull(0, 0, 2);
  assert.ok(res.status === 'busy' && res.retryAfterMs > 0);
  const empty = distributorAt();
  const seen = {environment, version: 5, hash: 'x'};
  const wants = (at: number) => empty.onDigest('b', seen, at).length;
  assert.equal(wants(now), 1);
  empty.onPullResponse(res, now);
  assert.equal(wants(now + res.retryAfterMs - 1), 0);
  assert.equal(wants(now + res.retryAfterMs), 1);
});

Then('a distribution pull from the same version is answered by nothing', () =>
  assert.equal(pull(5).status, 'none'),
);

function push(base: number, version: number): ConfigPush {
  const effects = distributorAt(base).onAccepted(candidateOf(version), now);
  const sent = effects.unwrapOr([]).find(row => row.type === 'push');
  assert.ok(sent?.type === 'push');
  return {...sent.message, root: 'a'};
}

Then('a distribution push with a foreign base is forwarded and pulled', () => {
  const effects = distributorAt(3).onPush('b', push(4, 5), now);
  const types = effects.map(row => row.type);
  assert.deepEqual(types, ['push', 'push', 'pull']);
});

Then('a distribution push with a damaged text is not applied', () => {
  const good = push(4, 5);
  assert.ok('delta' in good.content);
  const steps = good.content.delta.steps.map(step =>
    typeof step === 'string' ? `${step}#` : step,
  );
  const content = {...good.content, delta: {...good.content.delta, steps}};
  const node = distributorAt(4);
  node.onPush('b', {...good, content}, now);
  assert.equal(node.digest.version, 4);
});

Then('a distribution push that arrives twice is forwarded once', () => {
  const node = distributorAt(4);
  const sent = (root: string) =>
    node
      .onPush('b', {...push(4, 5), root}, now)
      .filter(row => row.type === 'push').length;
  assert.deepEqual([sent('a'), sent('a'), sent('a')], [2, 0, 0]);
});

Then(
  'each malformed distribution message is refused with code {int}',
  (code: number) => {
    const good = push(4, 5);
    const content = {...good.content, text: 'x', textHash: 'y'};
    const bodies = [
      parseMessage(configPushSchema, {...good, content}),
      parseMessage(configPushSchema, {...good, version: 0}),
      parseMessage(configPushSchema, null),
      parseMessage(configPullRequestSchema, {environment, have: 5}),
      parseMessage(configPullResponseSchema, {status: 'later'}),
      parseMessage(configDigestSchema, {environment, version: '5', hash: ''}),
    ];
    for (const res of bodies) {
      assert.equal(res.isErr && res.error.code.code, code);
    }
    assert.ok(parseMessage(configPushSchema, good).isOk);
  },
);

Then(
  'the distribution relay waits a random time before it takes a slot',
  () => {
    const waited = [0x1234567, 0x3456789, 0x5678901].map(seed => {
      const policy = new RelayPolicy(seededRandom(seed));
      let at = 0;
      while (policy.next(1, at).type === 'none' && at < 10_000) at += 10;
      return at;
    });
    assert.ok(waited.every(ms => ms > 0 && ms <= 5_010));
    assert.equal(new Set(waited).size, waited.length);
    const idle = new RelayPolicy(seededRandom(1));
    for (let at = 0; at < 20_000; at += 100) {
      assert.equal(idle.next(2, at).type, 'none');
    }
  },
);

Then('the distribution relay renews after 3 seconds and ends after 10', () => {
  const policy = new RelayPolicy(seededRandom(1));
  policy.taken({slot: 0, lease: '1'}, 0);
  assert.equal(policy.next(1, 2_999).type, 'none');
  assert.equal(policy.next(1, 3_000).type, 'renew');
  policy.renewed(3_000);
  assert.ok(policy.isRelay(12_999));
  assert.ok(!policy.isRelay(13_000));
  policy.next(2, 13_000);
  assert.ok(!policy.isRelay(12_000));
});

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {Invariants, seededRandom} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {compile} from '@verbenabeam/document';
import {
  Distributor,
  FullTextCap,
  PushPlanner,
  pushTargets,
  RelayPolicy,
  StartInquiry,
  VersionTracker,
} from './index.js';
import type {ConfigPush, PushMember} from './index.js';

const environment = 'production';
const lastVersion = 5;
const now = 1_000;

let tracker: VersionTracker;
let refusal: number | null;

function textOf(version: number) {
  const routes = Array.from(
    {length: 20},
    (_, i) => `[[routes]]\nname = "r${i}"\nservice = "s"\npath_prefix = "/"\n`,
  );
  const timeout = `timeout = "${version}s"\n`;
  return (
    `[services.s]\nversions = ["v1"]\ncurrent = "v1"\n` +
    routes.join('') +
    timeout
  );
}

function candidateOf(version: number, text = textOf(version)) {
  const hash = compile(text).mapOr('none', doc => doc.hash);
  return {environment, version, hash, acceptedAt: now, text};
}

function trackerAt(version: number) {
  const made = new VersionTracker(environment, new Invariants(true));
  if (version > 0) assert.ok(made.offer(candidateOf(version), now).isOk);
  return made;
}

const offers: Record<string, () => ReturnType<typeof candidateOf>> = {
  'version 4': () => candidateOf(4),
  'version 5': () => candidateOf(5),
  'version 5 with another text': () => candidateOf(5, textOf(6)),
  'version 6 that is no TOML': () => candidateOf(6, 'a = '),
  'version 6 with another hash': () => ({...candidateOf(6), hash: 'x'}),
  'version 6 of the environment trial': () => ({
    ...candidateOf(6),
    environment: 'trial',
  }),
  'version 7': () => candidateOf(7),
};

Given('a distribution tracker at version 5', () => {
  tracker = trackerAt(lastVersion);
});

When(/^the distribution tracker is offered (.*)$/, (name: string) => {
  const offer = offers[name];
  assert.ok(offer, name);
  const res = tracker.offer(offer(), now);
  refusal = res.isErr ? res.error.code.code : null;
});

Then(
  'the distribution tracker refuses with code {int} and keeps version {int}',
  (code: number, version: number) => {
    assert.equal(refusal, code);
    assert.equal(tracker.current?.version, version);
    assert.equal(tracker.current.document.text, textOf(version));
  },
);

Then(
  'the distribution status reports code {int} with cause {int}',
  (code: number, cause: number) => {
    const {problem} = tracker.status;
    assert.equal(problem?.code.code, code);
    assert.equal(problem.details['cause'], cause);
  },
);

Then(
  'the distribution status reports no problem at version {int}',
  (version: number) => {
    assert.equal(tracker.status.problem, null);
    assert.equal(tracker.status.version, version);
  },
);

const heads: Record<string, {version: number; hash: string} | null> = {
  'a store at version 4': {version: 4, hash: 'x'},
  'an empty store': null,
  'a store with another version 5': {version: 5, hash: 'x'},
};

Then(
  /^the distribution tracker reports code (\d+) for (.*)$/,
  (code: string, name: string) => {
    const res = tracker.observeStoreHead(heads[name] ?? null);
    assert.equal(res.isErr && res.error.code.code, Number(code));
    assert.equal(tracker.status.problem?.code.code, Number(code));
    assert.equal(tracker.current?.version, lastVersion);
  },
);

const broken: Record<string, () => void> = {
  'a route with a foreign service': () => {
    const doc = compile(textOf(1)).unwrapOrElse(fail);
    const service = {...doc.routes[0]!.service};
    const routes = doc.routes.map(row => ({...row, service}));
    new VersionTracker(environment, new Invariants(true), () =>
      compile(textOf(1)).map(d => ({...d, routes})),
    ).offer(candidateOf(1), now);
  },
  'a document with a lost route': () => {
    new VersionTracker(environment, new Invariants(true), () =>
      compile(textOf(1)).map(d => ({...d, routes: d.routes.slice(1)})),
    ).offer(candidateOf(1), now);
  },
  'an accepted version that is not active': () => {
    trackerAt(1).confirmAccepted({version: 2, hash: 'x'});
  },
};

function fail(err: Error): never {
  throw err;
}

Then(
  /^the distribution invariant (\d+) is reported for (.*)$/,
  (code: string, name: string) => {
    const matches = (err: MeshError) => err.code.code === Number(code);
    assert.throws(broken[name]!, matches);
  },
);

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

function distributorAt(...versions: number[]) {
  const members: PushMember[] = ['a', 'b', 'c'].map(nodeId => ({
    ...{nodeId, dataCentre: 'x', environment, state: 'alive', relay: false},
  }));
  const self = {nodeId: 'a', dataCentre: 'x', environment};
  const made = new Distributor({
    tracker: trackerAt(0),
    planner: new PushPlanner({self, members: () => members}),
    cap: new FullTextCap({maxAtOnce: 1}),
    random: seededRandom(1),
  });
  for (const version of versions) {
    made.onStoreVersion(candidateOf(version), false, now);
  }
  return made;
}

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

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Invariants} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {compile} from '@verbenabeam/document';
import {
  candidateOf,
  environment,
  textOf,
  trackerAt,
} from './fakes/candidates.js';
import {VersionTracker} from './index.js';

const lastVersion = 5;
const now = 1_000;

let tracker: VersionTracker;
let refusal: number | null;

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

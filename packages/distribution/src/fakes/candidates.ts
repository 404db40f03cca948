import {Invariants, seededRandom} from '@verbenabeam/core';
import {compile} from '@verbenabeam/document';
import {Distributor} from '../distributor.js';
import {FullTextCap} from '../full-text-cap.js';
import {PushPlanner} from '../push-planner.js';
import type {PushMember} from '../push-planner.js';
import {VersionTracker} from '../version-tracker.js';

/** Environment of the candidates. @internal */
export const environment = 'production';

const now = 1_000;

/** A document whose last timeout names the version. @internal */
export function textOf(version: number) {
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

/** The version as a peer offers it. @internal */
export function candidateOf(version: number, text = textOf(version)) {
  const hash = compile(text).mapOr('none', doc => doc.hash);
  return {environment, version, hash, acceptedAt: now, text};
}

/** A tracker with strict invariants; version 0 means nothing. @internal */
export function trackerAt(version: number) {
  const made = new VersionTracker(environment, new Invariants(true));
  if (version > 0) made.offer(candidateOf(version), now);
  return made;
}

/** Node `a` of three after it applied the versions. @internal */
export function distributorAt(...versions: number[]) {
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

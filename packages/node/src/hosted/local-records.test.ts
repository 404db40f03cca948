import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import {RecordFleet} from './test/record-fleet.js';

const percent = 100;
/** Time in which the nodes receive the last revision. */
const settleMs = 2_000;
const names = ['a', 'b', 'c'];

let fleet: RecordFleet | null = null;
const writtenAt = new Map<number, number>();

After({tags: '@hosted'}, () => {
  fleet?.stop();
  fleet = null;
});

function currentFleet(): RecordFleet {
  assert.ok(fleet, 'no fleet runs');
  return fleet;
}

Given(
  '{int} nodes in {int} data centres, of which {int} in each of {string} watch the store',
  (
    count: number,
    centreCount: number,
    watchers: number,
    watchedCentres: string,
  ) => {
    fleet = new RecordFleet(testSeed());
    for (let i = 0; i < count; i++) {
      const dataCentre = names[i % centreCount] ?? '';
      const isWatched = watchedCentres.split(', ').includes(dataCentre);
      fleet.add(dataCentre, isWatched && i < watchers * centreCount);
    }
    fleet.start();
  },
);

When(
  'the store sends the watchers {int} revisions, one every {int} ms',
  async (count: number, gapMs: number) => {
    writtenAt.clear();
    for (let revision = 1; revision <= count; revision++) {
      writtenAt.set(revision, performance.now());
      currentFleet().write(revision);
      await sleep(gapMs);
    }
    await sleep(settleMs);
  },
);

Then(
  'each node holds each revision or a newer one within {int} ms',
  (withinMs: number) => {
    for (const {nodeId, heldAt} of currentFleet().nodes) {
      for (const [revision, at] of writtenAt) {
        const times = [...heldAt].filter(([r]) => r >= revision);
        const ms = Math.min(Infinity, ...times.map(([, t]) => t)) - at;
        assert.ok(ms <= withinMs, `${nodeId}, revision ${revision}: ${ms} ms`);
      }
    }
  },
);

Then(
  'at most {int}% of the pulled records come from another data centre',
  (mostPercent: number) => {
    const {local, remote} = currentFleet().transfers;
    const share = (remote / (local + remote)) * percent;
    assert.ok(
      share <= mostPercent,
      `${remote} of ${local + remote}: ${share}%`,
    );
  },
);

Then('each node of the fleet announces the change to every other node', () => {
  const {nodes, announcedTo} = currentFleet();
  for (const {nodeId} of nodes) {
    assert.equal(announcedTo.get(nodeId)?.size, nodes.length - 1, nodeId);
  }
});

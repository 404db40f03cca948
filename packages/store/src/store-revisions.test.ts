import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {StoreRevisions} from './store-revisions.js';
import type {RevisionView} from './store-revisions.js';

let revisions: StoreRevisions;

Given('store revisions that have seen revision {int}', (revision: number) => {
  revisions = new StoreRevisions();
  revisions.observe(revisions.view, revision);
});

// Guards against a false alarm when responses overtake each other.
Then('an overtaken response does not make the store revisions go back', () => {
  const sent = revisions.view;
  revisions.observe(sent, 105);
  revisions.observe(sent, 101);
  assert.deepEqual(revisions.view, {
    epoch: 0,
    highest: 105,
    wentBack: false,
  });
});

// Guards against an alarm that ends by itself once writes pass the old revision.
Then(
  'a response below the known store revision is noticed until it is confirmed',
  () => {
    revisions.observe(revisions.view, 50);
    revisions.observe(revisions.view, 200);
    assert.equal(revisions.view.wentBack, true);
    const sentBefore = revisions.view;
    revisions.confirm(1_000);
    revisions.observe(sentBefore, 60);
    assert.equal(revisions.view.wentBack, false);
    revisions.observe(revisions.view, 61);
    assert.deepEqual(revisions.view, {
      epoch: 1_000,
      highest: 61,
      wentBack: false,
    });
  },
);

// Guards against a confirmation that an older message of a peer takes back.
Then('store revisions of peers are merged in any order', () => {
  const views: RevisionView[] = [
    {epoch: 0, highest: 900, wentBack: true},
    {epoch: 1_000, highest: 70, wentBack: false},
    {epoch: 1_000, highest: 65, wentBack: true},
  ];
  for (const order of [views, [...views].reverse()]) {
    const merged = new StoreRevisions();
    for (const view of order) merged.merge(view);
    assert.deepEqual(merged.view, {epoch: 1_000, highest: 70, wentBack: true});
  }
});

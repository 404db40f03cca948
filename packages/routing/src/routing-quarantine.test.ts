import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {seededRandom} from '@verbenabeam/core';
import {testSeed} from '@verbenabeam/testing';
import {CrashQuarantine} from './crash-quarantine.js';
import type {CrashNotice} from './crash-notice.js';

const rng = seededRandom(testSeed());
const a = 'a'.repeat(16);
const b = 'b'.repeat(16);
const suspects = (crashId: string, ...fingerprints: string[]): CrashNotice => ({
  kind: 'suspects',
  crashId,
  fingerprints,
});

Then('routing clears a suspect request that is answered later', () => {
  const quarantine = new CrashQuarantine();
  quarantine.tryStart('1', a, 0);
  quarantine.crashed('k1', 1);
  assert.ok(quarantine.isSuspect(a, 2));
  quarantine.tryStart('2', a, 2);
  assert.equal(quarantine.finish('2', true, 3)?.kind, 'cleared');
  quarantine.tryStart('3', a, 4);
  quarantine.crashed('k2', 5);
  assert.ok(!quarantine.isQuarantined(a, 6));
});

// Guards against quarantining a common request that was in flight at two crashes.
Then(
  'routing clears the other suspects when the cause of a crash is known',
  () => {
    const quarantine = new CrashQuarantine();
    quarantine.receive(suspects('k1', a, b), 0);
    quarantine.receive(suspects('k2', a), 1);
    assert.ok(quarantine.isQuarantined(a, 2) && !quarantine.isSuspect(b, 2));
  },
);

Then(
  'routing reaches the same result for any order and repetition of notices',
  () => {
    const notices = [
      suspects('k1', a, b),
      suspects('k2', a),
      {kind: 'quarantined' as const, crashId: 'k2', fingerprints: [a]},
    ];
    for (let i = 0; i < 50; i++) {
      const quarantine = new CrashQuarantine();
      for (const n of rng.shuffle([...notices, ...notices])) {
        quarantine.receive(n, i);
      }
      assert.ok(quarantine.isQuarantined(a, 60));
      assert.ok(!quarantine.isQuarantined(b, 60));
    }
  },
);

Then('routing keeps at most 100 of 10000 suspects', () => {
  const quarantine = new CrashQuarantine({maxEntries: 100});
  for (let i = 0; i < 10_000; i++) {
    quarantine.receive(suspects(`k${i}`, String(i).padStart(16, '0')), i);
  }
  assert.equal(quarantine.sizes().suspects, 100);
});

// Guards against a second crash with more than one possible cause.
Then(
  'routing runs one suspect at a time and refuses the others with 1615',
  () => {
    const quarantine = new CrashQuarantine();
    quarantine.receive(suspects('k1', a, b), 0);
    assert.equal(quarantine.tryStart('1', a, 1).kind, 'allowed');
    const second = quarantine.tryStart('2', b, 2);
    assert.ok(second.kind === 'refused' && second.code.code === 1615);
    quarantine.finish('1', false, 3);
    assert.equal(quarantine.tryStart('3', b, 4).kind, 'allowed');
  },
);

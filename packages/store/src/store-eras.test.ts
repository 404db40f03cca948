import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {testSeed} from '@verbenabeam/testing';
import {StoreEras} from './store-eras.js';
import {
  decodePosition,
  encodePosition,
  keptPosition,
  MAX_ERA,
  MAX_ERA_REVISION,
} from './store-position.js';

let eras: StoreEras;
let verdicts: string[] = [];

/** @param text - For example `2:17` or `2:17 kept`. */
function positionOf(text: string): number {
  const [place = '', kept] = text.split(' ');
  const [era = 0, revision = 0] = place.split(':').map(Number);
  const position = encodePosition(era, revision);
  return kept === undefined ? position : keptPosition(position);
}

Then(
  /^the store position (\S+(?: kept)?) is below (\S+(?: kept)?)$/,
  (lower: string, higher: string) => {
    assert.ok(positionOf(lower) < positionOf(higher));
    assert.ok(Number.isSafeInteger(positionOf(higher)));
  },
);

Then(
  'store positions of any era and revision are decoded as they were encoded',
  () => {
    const era = fc.integer({min: 1, max: MAX_ERA});
    const revision = fc.integer({min: 0, max: MAX_ERA_REVISION});
    const property = fc.property(
      era,
      revision,
      fc.boolean(),
      (e, r, isKept) => {
        const plain = encodePosition(e, r);
        const position = isKept ? keptPosition(plain) : plain;
        const decoded = decodePosition(JSON.parse(String(position)) as number);
        assert.deepEqual(decoded, {era: e, revision: r, isKept});
      },
    );
    fc.assert(property, {seed: testSeed()});
  },
);

Then(
  /^the store position (\S+) is the number (\d+)$/,
  (text: string, number: string) => {
    assert.equal(positionOf(text), Number(number));
  },
);

When('the store tells the eras {string} in its answers', (told: string) => {
  eras = new StoreEras();
  verdicts = told.split(' ').map(word => {
    return eras.observe(word === '-' ? null : Number(word), eras.era);
  });
});

Then('the store eras verdicts are {string}', (expected: string) => {
  assert.equal(verdicts.join(' '), expected);
});

Then(
  'the store era is {int} after {int} new eras and {int} dropped answers',
  (era: number, begun: number, dropped: number) => {
    assert.deepEqual(eras.view, {era, begun, dropped});
  },
);

import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {seededRandom} from './random-source.js';

const tenths = 10;

interface RandomWorld {
  numbers: number[];
}

When(
  'the core sources of the seeds {int} to {int} give their first number',
  function (this: RandomWorld, first: number, last: number) {
    const length = last - first + 1;
    this.numbers = Array.from({length}, (_, i) =>
      seededRandom(first + i).float(),
    );
  },
);

Then(
  'each tenth of the core range holds {int} to {int} of the numbers',
  function (this: RandomWorld, min: number, max: number) {
    for (let i = 0; i < tenths; i++) {
      const inTenth = this.numbers.filter(n => Math.floor(n * tenths) === i);
      assert.ok(inTenth.length >= min && inTenth.length <= max, `tenth ${i}`);
    }
  },
);

import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {decodeGossip} from '@verbenabeam/membership';
import {testSeed} from '@verbenabeam/testing';
import * as fc from 'fast-check';
import {
  decodeCallHead,
  decodeLoad,
  decodeResponseHead,
  decodeTrailer,
} from './call-head.js';

const casesInCi = 2_000;
const cases = Number(process.env['VERBENABEAM_FUZZ_CASES'] ?? casesInCi);
const stepTimeoutMs = 600_000;
/** Longer than each of the messages, which are arrays. */
const maxFields = 24;

const decoders: Readonly<Record<string, (value: unknown) => unknown>> = {
  'call head': decodeCallHead,
  'response head': decodeResponseHead,
  trailer: decodeTrailer,
  load: decodeLoad,
  gossip: decodeGossip,
};

const field = fc.oneof(
  fc.jsonValue(),
  fc.uint8Array({maxLength: 30}),
  fc.constantFrom(1e300, NaN, Infinity, -1, undefined, null, '__proto__'),
  fc.bigInt(),
);
const message = fc.oneof(
  fc.array(field, {maxLength: maxFields}),
  fc.record({k: fc.constantFrom('probe', 'ack', 'table'), u: field, s: field}),
  field,
);

let results = 0;

When(
  /^the decoder of a peer's (.+) gets arbitrary values$/,
  {timeout: stepTimeoutMs},
  (name: string) => {
    results = 0;
    const decode = decoders[name];
    assert.ok(decode, name);
    fc.assert(
      fc.property(message, value => {
        decode(value);
        results++;
      }),
      {seed: testSeed(), numRuns: cases},
    );
  },
);

Then('the decoder has returned a result for each value', () => {
  assert.equal(results, cases);
});

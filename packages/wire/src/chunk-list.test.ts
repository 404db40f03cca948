import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import fc from 'fast-check';
import {ChunkList} from './chunk-list.js';

const byteValues = 256;
const largestChunk = 6_000;
let list = new ChunkList();
let sent: Buffer[] = [];

When('{int} chunks of one byte wait in a chunk list', (count: number) => {
  list = new ChunkList();
  sent = Array.from({length: count}, (_, i) => Buffer.of(i % byteValues));
  for (const chunk of sent) list.push(chunk);
});

Then(
  'the chunk list has at most {int} objects and all bytes in order',
  (most: number) => {
    assert.ok(list.length <= most, `${list.length} objects`);
    assert.ok(Buffer.concat([...list]).equals(Buffer.concat(sent)));
  },
);

Then(
  'a chunk list that is filled and emptied at random has all bytes in order',
  () => {
    // A negative number takes a chunk, others add one of that many bytes.
    const step = fc.oneof(
      fc.integer({min: -1, max: 3}),
      fc.integer({min: -1, max: largestChunk}),
    );
    const property = fc.property(fc.array(step), steps => {
      const filled = new ChunkList();
      const added: Buffer[] = [];
      const taken: Buffer[] = [];
      for (const [i, bytes] of steps.entries()) {
        const chunk = bytes < 0 ? filled.shift() : undefined;
        if (chunk) taken.push(chunk);
        if (bytes < 0) continue;
        added.push(Buffer.alloc(bytes, i));
        filled.push(Buffer.alloc(bytes, i));
      }
      const found = Buffer.concat([...taken, ...filled]);
      assert.ok(found.equals(Buffer.concat(added)));
    });
    fc.assert(property, {seed: testSeed(), numRuns: 1_000});
  },
);

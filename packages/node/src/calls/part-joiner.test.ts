import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {PartJoiner} from './part-joiner.js';

const mixedSizes = [1, 31, 2_000, 40, 1_024, 1_023, 7];
const sizes: Readonly<Record<string, (at: number) => number>> = {
  '1 byte': () => 1,
  '100 bytes': () => 100,
  'mixed sizes': at => mixedSizes[at % mixedSizes.length] ?? 1,
};

let joiner: PartJoiner;
let received: Buffer[] = [];
let sent: Buffer[] = [];
let opened = 0;

Given(
  /^a receiver of joined parts that takes (all|one part, then waits)$/,
  (taken: string) => {
    received = [];
    opened = 0;
    joiner = new PartJoiner({
      write: part => {
        received.push(part);
        return taken === 'all';
      },
      onOpen: () => opened++,
    });
  },
);

When(
  /^(\d+) parts of (.+) come, (\d+) in each turn$/,
  async (count: string, kind: string, perTurn: string) => {
    sent = Array.from({length: Number(count)}, (_, i) =>
      Buffer.alloc(sizes[kind]!(i), i),
    );
    for (const [i, part] of sent.entries()) {
      if (!joiner.push(part)) joiner.unblock();
      if (i % Number(perTurn) === 0) await nextTurn();
    }
    await nextTurn();
  },
);

Then(
  'the receiver of joined parts has all bytes in order, in at most {int} parts',
  (most: number) => {
    assert.ok(Buffer.concat(received).equals(Buffer.concat(sent)));
    assert.ok(received.length <= most, `${received.length} parts`);
    assert.equal(opened, 0);
  },
);

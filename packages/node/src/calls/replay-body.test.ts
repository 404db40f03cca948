import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {MemoryBudget} from './memory-budget.js';
import {ReplayBody} from './replay-body.js';

const chunkBytes = 20;
const chunks = 8;
/** A stream hands over at most a chunk more than it was asked for. */
const toleranceBytes = 2 * chunkBytes;
/** Turns of the event loop in which a stream delivers all that it has. */
const turns = 20;

/** A request body whose instance takes no bytes until `take` is called. */
class WaitingBody {
  readonly req = new PassThrough({highWaterMark: chunkBytes});
  readonly body: ReplayBody;
  readonly taken: Buffer[] = [];
  isOpen = false;

  constructor(readAhead: MemoryBudget) {
    this.body = new ReplayBody(this.req as unknown as IncomingMessage, true, {
      maxKeptBytes: 0,
      maxBytes: Infinity,
      readAhead,
      onTooLarge: () => assert.fail('The body is not too large'),
    });
    this.body.attach({
      write: chunk => {
        this.taken.push(Buffer.from(chunk));
        return this.isOpen;
      },
      end: () => undefined,
    });
  }

  send(): void {
    for (let i = 0; i < chunks; i++) {
      this.req.write(Buffer.alloc(chunkBytes, i));
    }
  }

  /** Bytes that have left the connection of the caller. */
  get readBytes(): number {
    const {readableLength, writableLength} = this.req;
    return chunks * chunkBytes - readableLength - writableLength;
  }

  async take(): Promise<void> {
    this.isOpen = true;
    this.body.resume();
    await settle();
  }
}

let budget = new MemoryBudget(0);
let budgetBytes = 0;
let bodies = new Map<string, WaitingBody>();

async function settle(): Promise<void> {
  for (let i = 0; i < turns; i++) await nextTurn();
}

function bodyOf(name: string): WaitingBody {
  const found = bodies.get(name);
  assert.ok(found, `There is no body ${name}`);
  return found;
}

async function sendBodies(names: readonly string[]): Promise<void> {
  for (const name of names) {
    const body = new WaitingBody(budget);
    bodies.set(name, body);
    body.send();
  }
  await settle();
}

Given(
  'request bodies that share {int} bytes to read ahead and keep none',
  (bytes: number) => {
    budgetBytes = bytes;
    budget = new MemoryBudget(bytes);
    bodies = new Map();
  },
);

When(
  'the bodies {string} and {string} wait and the caller of each sends {int} chunks of {int} bytes',
  async (a: string, b: string, count: number, bytes: number) => {
    assert.deepEqual([count, bytes], [chunks, chunkBytes]);
    await sendBodies([a, b]);
  },
);

When(
  'the body {string} waits and its caller sends {int} chunks of {int} bytes',
  async (name: string, count: number, bytes: number) => {
    assert.deepEqual([count, bytes], [chunks, chunkBytes]);
    await sendBodies([name]);
    assert.ok(!budget.hasRoom);
  },
);

When('the instance takes the body {string}', (name: string) =>
  bodyOf(name).take(),
);

When('the call of the body {string} ends', (name: string) => {
  bodyOf(name).body.discard();
});

Then(
  'the bodies {string} and {string} have read about {int} bytes together',
  (a: string, b: string, bytes: number) => {
    const firstChunks = 2 * chunkBytes;
    const read = bodyOf(a).readBytes + bodyOf(b).readBytes - firstChunks;
    assert.ok(Math.abs(read - bytes) <= toleranceBytes, `${read} bytes`);
    assert.ok(!budget.hasRoom);
  },
);

Then(
  'the instance has the first {int} bytes of the body {string}',
  (bytes: number, name: string) => {
    const all = Buffer.concat(bodyOf(name).taken);
    const sent = Array.from({length: chunks}, (_, i) =>
      Buffer.alloc(chunkBytes, i),
    );
    assert.ok(all.equals(Buffer.concat(sent).subarray(0, bytes)));
  },
);

Then(
  'the body {string} reads the rest once its instance takes it',
  async (name: string) => {
    await bodyOf(name).take();
    assert.equal(Buffer.concat(bodyOf(name).taken).length, chunks * chunkBytes);
  },
);

Then('all {int} bytes may be read ahead again', (bytes: number) => {
  assert.equal(bytes, budgetBytes);
  budget.take(bytes - 1);
  assert.ok(budget.hasRoom);
  budget.take(1);
  assert.ok(!budget.hasRoom);
});

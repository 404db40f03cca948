import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {testSeed} from '@verbenabeam/testing';
import fc from 'fast-check';
import {FRAME_TYPES} from './frame.js';
import type {Frame} from './frame.js';
import {MuxStream} from './mux-stream.js';

const windowBytes = 262_144;
const creditBytes = 1_000;
const byteValues = 256;
const largestChunk = 3_000;

/** What one stream sent and passed on. */
class StreamScene {
  readonly frames: Frame[] = [];
  readonly sent: Buffer[] = [];
  readonly received: Buffer[] = [];
  hasEnded = false;
  readonly stream: MuxStream;

  constructor(credit: number) {
    const link = {
      send: (frame: Frame) => this.frames.push(frame),
      sendChunk: (_id: number, bytes: Uint8Array) =>
        this.sent.push(Buffer.from(bytes)),
      forget: () => undefined,
    };
    this.stream = new MuxStream(1, link, {
      isAnswering: false,
      windowBytes,
      creditBytes: credit,
      ageMs: 0,
    });
    this.stream.listen({
      onChunk: chunk => {
        assert.ok(!this.hasEnded);
        this.received.push(Buffer.from(chunk));
      },
      onEnd: () => (this.hasEnded = true),
      onReset: () => undefined,
    });
  }

  ofType(type: number): Frame[] {
    return this.frames.filter(frame => frame[0] === type);
  }
}

let scene: StreamScene;
let bytes: Buffer;

Given('a wire stream that is paused', () => {
  scene = new StreamScene(0);
  scene.stream.pause();
});

Given('a wire stream without credit', () => {
  scene = new StreamScene(0);
});

When(
  /^(\d+) chunks of one byte (arrive on|are written to) that wire stream, then its end$/,
  (count: string, way: string) => {
    bytes = Buffer.from(
      Array.from({length: Number(count)}, (_, i) => i % byteValues),
    );
    for (let i = 0; i < bytes.length; i++) {
      const chunk = bytes.subarray(i, i + 1);
      if (way === 'arrive on') assert.ok(scene.stream.takeChunk(chunk));
      else assert.equal(scene.stream.write(chunk), false);
    }
    if (way === 'arrive on') assert.ok(scene.stream.takeEnd(null));
    else scene.stream.end();
  },
);

Then(
  'the resumed wire stream has all bytes in order before its end, in at most {int} chunks',
  (most: number) => {
    assert.equal(scene.received.length, 0);
    scene.stream.resume();
    assert.ok(Buffer.concat(scene.received).equals(bytes));
    assert.ok(scene.hasEnded);
    assert.ok(scene.received.length <= most, `${scene.received.length}`);
  },
);

Then('the wire stream has returned credit for them', () => {
  const frames = scene.ofType(FRAME_TYPES.credit);
  assert.ok(frames.length > 0);
});

Then(
  'with credit the wire stream sends all bytes in order before its end, in at most {int} chunks',
  (most: number) => {
    assert.equal(scene.sent.length, 0);
    assert.equal(scene.ofType(FRAME_TYPES.end).length, 0);
    scene.stream.takeCredit(bytes.length);
    assert.ok(Buffer.concat(scene.sent).equals(bytes));
    assert.equal(scene.ofType(FRAME_TYPES.end).length, 1);
    assert.ok(scene.sent.length <= most, `${scene.sent.length}`);
  },
);

Then(
  'a wire stream that is paused and gets credit at random passes all bytes on in order',
  () => {
    const size = fc.oneof(
      fc.integer({min: 1, max: 3}),
      fc.integer({min: 1, max: largestChunk}),
    );
    const step = fc.record({
      kind: fc.constantFrom('chunk', 'write', 'pause', 'resume', 'credit'),
      size,
    });
    const property = fc.property(fc.array(step, {maxLength: 80}), steps => {
      const {stream, received, sent} = (scene = new StreamScene(creditBytes));
      const arrived: Buffer[] = [];
      const written: Buffer[] = [];
      for (const [i, {kind, size: count}] of steps.entries()) {
        const chunk = Buffer.alloc(count, i);
        const act: Readonly<Record<string, () => void>> = {
          chunk: () => {
            arrived.push(chunk);
            assert.ok(stream.takeChunk(chunk));
          },
          write: () => {
            written.push(chunk);
            stream.write(chunk);
          },
          pause: () => stream.pause(),
          resume: () => stream.resume(),
          credit: () => stream.takeCredit(count),
        };
        act[kind]?.();
      }
      stream.resume();
      stream.takeCredit(windowBytes);
      assert.ok(Buffer.concat(received).equals(Buffer.concat(arrived)));
      assert.ok(Buffer.concat(sent).equals(Buffer.concat(written)));
    });
    fc.assert(property, {seed: testSeed(), numRuns: 500});
  },
);

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {MeshError} from '@verbenabeam/core';
import {encodeChunkHeader} from './chunk-frame.js';
import {encodeFrame, MAX_HANDSHAKE_FRAME_BYTES} from './frame.js';
import {FrameReader} from './frame-reader.js';

interface Reading {
  /** Frame bodies in hex and chunk bytes by stream, joined between frames. */
  readonly events: string[];
  readonly parts: number;
  readonly err: MeshError | null;
}

const payloadBytes = 300;
let bytes: Buffer;
let readings: Reading[] = [];

function chunkOf(streamId: number, fill: number): Buffer {
  const payload = Buffer.from(
    Array.from({length: payloadBytes}, (_, i) => (fill + i) % 256),
  );
  return Buffer.concat([encodeChunkHeader(streamId, payloadBytes), payload]);
}

function read(data: Buffer, pieceBytes: number): Reading {
  const events: string[] = [];
  let parts = 0;
  const reader = new FrameReader({
    onBody: body => events.push(`frame ${body.toString('hex')}`),
    onChunk: (streamId, chunk) => {
      parts++;
      const name = `chunk ${streamId} `;
      if (!events.at(-1)?.startsWith(name)) events.push(name);
      events.push(`${events.pop()}${chunk.toString('hex')}`);
    },
  });
  let err: MeshError | null = null;
  for (let at = 0; at < data.length && !err; at += pieceBytes) {
    err = reader.push(data.subarray(at, at + pieceBytes));
  }
  return {events, parts, err};
}

Given('wire reader bytes of frames and chunks on two streams', () => {
  bytes = Buffer.concat([
    encodeFrame([4, 1, 'kind', ['head']]),
    chunkOf(1, 1),
    chunkOf(2, 2),
    encodeFrame([7, 1, null]),
    chunkOf(2, 3),
    encodeFrame([7, 2, null]),
  ]);
});

When(
  'the wire reader takes them in pieces of {int} to {int} bytes',
  (from: number, to: number) => {
    readings = [];
    for (let size = from; size <= to; size++) readings.push(read(bytes, size));
  },
);

Then('each time the wire reader passes on the same frames and chunks', () => {
  const whole = read(bytes, bytes.length);
  assert.equal(whole.events.length, 6);
  for (const {events, err} of readings) {
    assert.equal(err, null);
    assert.deepEqual(events, whole.events);
  }
});

// Guards against a copy of each chunk that spans reads.
Then('the wire reader passes on a chunk before it is whole', () => {
  const chunks = read(bytes, bytes.length).parts;
  assert.ok(readings.at(99)!.parts > chunks);
});

When('a wire reader takes the first bytes of a chunk over its limit', () => {
  const header = encodeChunkHeader(1, MAX_HANDSHAKE_FRAME_BYTES);
  readings = [read(Buffer.concat([header, Buffer.alloc(10)]), 100)];
});

Then(
  'the wire reader fails with {string} and passes on nothing',
  (name: string) => {
    const [reading] = readings;
    assert.equal(reading?.err?.code.name, name);
    assert.deepEqual(reading.events, []);
  },
);

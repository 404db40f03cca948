import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {waitUntil} from '@verbenabeam/platform/fakes';
import {askNode} from './test/ask-node.js';
import {ProcessScene, unbundledProgram} from './test/process-scene.js';

const heartbeatMs = 300;
const stepTimeoutMs = 20_000;
const depth = 200_000;
const nested = '['.repeat(depth) + ']'.repeat(depth);
const farFuture = 8_000_000_000_000;
const hugeSequence = Number.MAX_SAFE_INTEGER;
const farAhead = 2_000_000_000;

/** Values of entries by what is odd about them. */
const values: Readonly<Record<string, string | Buffer>> = {
  'a port out of range': '10.0.0.1:99999',
  'a negative port': '10.0.0.1:-1',
  'a number too large': '10.0.0.1:1e999',
  'no address': 'abc',
  'a deeply nested value': nested,
  'bytes that are no text': Buffer.from([0xff, 0xfe, 0x00, 0x80]),
  'an order without an end':
    '{"service":"shop","target_version":"v2","duration_s":1e306}',
};

/** Fields of heartbeats by what is odd about them. */
const heartbeats: Readonly<Record<string, Record<string, unknown>>> = {
  'a port out of range': {address: '127.0.0.1:99999'},
  'an address out of range': {address: '999.0.0.1:80'},
  'a start in the far future': {born: farFuture, address: '127.0.0.1:1'},
  'a sequence too large': {sequence: hugeSequence, address: '127.0.0.1:1'},
  'a sequence far ahead': {sequence: farAhead, address: '127.0.0.1:1'},
  'a deeply nested service': {service: nestedArray(1_000)},
};

function nestedArray(depth: number): unknown {
  let value: unknown = [];
  for (let i = 0; i < depth; i++) value = [value];
  return value;
}

let scene: ProcessScene | null = null;

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  await scene?.stop();
  scene = null;
});

Given(
  /^a store with the entry "([^"]+)" of (.+)$/,
  async (key: string, what: string) => {
    const value = values[what];
    assert.ok(value !== undefined, what);
    scene = await ProcessScene.create();
    scene.store.put(key, value);
  },
);

When(
  'a hosted node process runs with that store',
  {timeout: stepTimeoutMs},
  async () => {
    const {server, ports} = scene!;
    server.bornAt = Date.now();
    await scene!.startNode([unbundledProgram]);
    server.beatTo(ports.control, heartbeatMs);
  },
);

Then(
  'it is ready within {int} ms after a configuration was written',
  {timeout: stepTimeoutMs},
  async (withinMs: number) => {
    const {ports} = scene!;
    scene!.configure();
    const isReady = async () => {
      const res = await fetch(`http://${ports.ready}/ready`).catch(() => null);
      return res?.status === 200;
    };
    await waitUntil(isReady, withinMs, 'ready');
  },
);

Then('the hosted node process is still the one that was started', () => {
  const {child, log} = scene!.node;
  assert.equal(child.exitCode, null, log);
});

When(/^its upstream's heartbeat has (.+)$/, async (what: string) => {
  const fields = heartbeats[what];
  assert.ok(fields, what);
  const {server, ports} = scene!;
  await server.beat(ports.control, fields);
});

Then(
  'a request at the hosted node is answered by its upstream',
  {timeout: stepTimeoutMs},
  async () => {
    const {callers} = scene!.ports;
    // The first tries may meet what the odd heartbeat named.
    for (let i = 0; i < 3; i++) await askNode(callers, 'odd');
    const answered = async () => (await askNode(callers, 'odd')) === 200;
    await waitUntil(answered, heartbeatMs * 3, 'answered');
  },
);

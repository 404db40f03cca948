import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {TestInstance} from './test/test-instance.js';
import {TestMesh} from './test/test-mesh.js';

/** Time in which a response of the stopped node would arrive. */
const answerMs = 300;
const upload = 'PUT /put HTTP/1.1\r\nhost: mesh\r\ncontent-length: 10\r\n\r\n';
const read = 'GET /read HTTP/1.1\r\nhost: mesh\r\n\r\n';

let mesh: TestMesh;
let instance: TestInstance;
let socket: net.Socket;
let received: string;

After({tags: '@stops'}, async () => {
  socket.destroy();
  await mesh.close();
});

Given('a planned stop caller with an open connection to a node', async () => {
  mesh = new TestMesh();
  await connect();
});

Given(
  'a planned stop caller with an upload in flight at a node whose stop waits {int} ms',
  async (stopWaitMs: number) => {
    mesh = new TestMesh();
    for (const each of mesh.instances) each.stopWaitMs = stopWaitMs;
    await connect();
    socket.write(`${upload}12345`);
    const {entry} = instance.node.parts;
    const isInFlight = () => entry.inFlight === 1;
    await mesh.waitUntil(isInFlight, 'the upload is in flight', answerMs);
  },
);

/** Starts the mesh and connects to its first node. */
async function connect(): Promise<void> {
  await mesh.start();
  const [first] = mesh.up;
  assert.ok(first);
  instance = first;
  const [host, port] = instance.addresses.callers.split(':');
  socket = net.connect(Number(port), host);
  received = '';
  socket.on('data', chunk => (received += chunk.toString()));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
}

// The upload keeps the connection active while the node closes idle connections.
When('the node stops as planned during an upload of that caller', async () => {
  const stopped = instance.stop(0);
  socket.write(`${upload}12345`);
  await stopped;
  if (!socket.destroyed) socket.write(`67890${read}`);
  await sleep(answerMs);
});

When('the node stops as planned and the upload does not end', async () => {
  await instance.node.stop();
  await sleep(answerMs);
});

Then(
  'the planned stop upload was refused with {int} and its connection closed',
  (code: number) => {
    const answers = received.match(/vb-result: (\d+)/g);
    assert.deepEqual(answers, [`vb-result: ${code}`]);
    assert.equal(socket.destroyed, true);
  },
);

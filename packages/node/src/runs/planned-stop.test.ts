import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {RunMember} from './test/run-member.js';
import {RunWorld} from './test/run-world.js';

/** Time in which an answer of the stopped node would arrive. */
const answerMs = 300;
const upload = 'PUT /put HTTP/1.1\r\nhost: mesh\r\ncontent-length: 10\r\n\r\n';
const read = 'GET /read HTTP/1.1\r\nhost: mesh\r\n\r\n';

let world: RunWorld;
let member: RunMember;
let socket: net.Socket;
let received: string;

After({tags: '@stops'}, async () => {
  socket.destroy();
  await world.close();
});

Given('a planned stop caller with an open connection to a node', async () => {
  world = new RunWorld();
  await world.start();
  const [first] = world.up;
  assert.ok(first);
  member = first;
  const [host, port] = member.addresses.callers.split(':');
  socket = net.connect(Number(port), host);
  received = '';
  socket.on('data', chunk => (received += chunk.toString()));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
});

// The upload keeps the connection from being idle when idle ones are closed.
When(
  'the node ends by a planned stop during an upload of that caller',
  async () => {
    const stopped = member.stop(0);
    socket.write(`${upload}12345`);
    await stopped;
    if (!socket.destroyed) socket.write(`67890${read}`);
    await sleep(answerMs);
  },
);

Then(
  'the planned stop upload was refused with {int} and its connection closed',
  (code: number) => {
    const answers = received.match(/vb-result: (\d+)/g);
    assert.deepEqual(answers, [`vb-result: ${code}`]);
    assert.equal(socket.destroyed, true);
  },
);

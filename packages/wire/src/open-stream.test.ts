import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {TcpPeerBus} from './tcp-peer-bus.js';

const nodeKey = Buffer.from('a node key for the tests');
const kind = 'heads';
const timeoutMs = 3_000;

let buses: TcpPeerBus[] = [];
let address = '';
let heads = new EventEmitter();

After({tags: '@wire-open'}, async () => {
  await Promise.all(buses.map(bus => bus.close()));
  buses = [];
});

Given('two wire buses that are not connected', async () => {
  heads = new EventEmitter();
  const [client, server] = ['client', 'server'].map(
    nodeId => new TcpPeerBus({nodeId, nodeKey}),
  );
  buses = [client!, server!];
  server!.onStream(kind, head => heads.emit('head', head));
  address = (await server!.start('127.0.0.1:0')).unwrapOr('');
});

Then('a wire stream is not opened at once', () =>
  assert.equal(buses[0]!.openStreamNow(address, kind, null), null),
);

When('a wire stream has connected the two buses', async () => {
  const options = {timeoutMs};
  const arrived = once(heads, 'head');
  await buses[0]!.openStream(address, kind, () => 'first', options);
  await arrived;
});

Then(
  'a wire stream is opened at once and its peer gets the head {string}',
  async (head: string) => {
    const arrived = once(heads, 'head');
    assert.ok(buses[0]!.openStreamNow(address, kind, head)?.isOk);
    assert.deepEqual(await arrived, [head]);
  },
);

/** One node of scripts/call-overhead.mjs: the data path with fakes around. */
import {once} from 'node:events';
import http from 'node:http';
import {CALL_STREAM} from '../packages/node/dist/calls/call-head.js';
import {CallLog} from '../packages/node/dist/calls/call-log.js';
import {EntryHandler} from '../packages/node/dist/calls/entry-handler.js';
import {ServingHandler} from '../packages/node/dist/calls/serving-handler.js';
import * as fakes from '../packages/node/dist/calls/test-ports.js';
import {TcpPeerBus} from '../packages/wire/dist/index.js';

const nodeId = process.argv[2];
const invariants = fakes.collectingInvariants([]);
const ownUpstream = new fakes.FakeUpstream();
const instances = new fakes.FakeInstances();
const bus = new TcpPeerBus({nodeId, nodeKey: Buffer.from('benchmark key')});
const serving = new ServingHandler({
  upstream: ownUpstream,
  admission: new fakes.FakeAdmission(),
  quarantine: new fakes.FakeQuarantine(),
  invariants,
});
const entry = new EntryHandler({
  config: new fakes.FakeConfig(),
  instances,
  versions: {choose: () => ({version: 'v1', moveId: null})},
  retries: {onCall: () => undefined, tryRetry: () => true},
  claims: new fakes.FakeClaims(),
  bus,
  serving,
  observer: new CallLog(),
  invariants,
});
bus.onStream(CALL_STREAM, serving.onStream);
const started = await bus.start('127.0.0.1:0');
const server = http.createServer(entry.handle);
await once(server.listen(0, '127.0.0.1'), 'listening');

const takers = {
  upstream: address => {
    const names = {service: 'files', version: 'v1', state: 'ready'};
    ownUpstream.own = {...names, address};
    const url = `http://127.0.0.1:${server.address().port}`;
    process.send({url, wire: started.unwrapOr('')});
  },
  sendTo: address => {
    instances.targets = [{nodeId: 'serving', address, local: false}];
  },
  cpu: () => process.send(process.cpuUsage()),
};
process.on('message', message => {
  for (const [name, value] of Object.entries(message)) takers[name](value);
});
// A normal exit writes the profile of --cpu-prof.
process.once('SIGTERM', () => process.exit(0));

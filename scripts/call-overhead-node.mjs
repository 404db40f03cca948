/** One node of scripts/call-overhead.mjs: the data path with fakes around. */
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {CALL_STREAM} from '../packages/node/dist/calls/call-head.js';
import {CallLog} from '../packages/node/dist/calls/call-log.js';
import {EntryHandler} from '../packages/node/dist/calls/entry-handler.js';
import {ServingHandler} from '../packages/node/dist/calls/serving-handler.js';
import * as fakes from '../packages/node/dist/calls/test/test-ports.js';
import {RetryBudget, RetryLedger} from '../packages/routing/dist/index.js';
import {TcpPeerBus} from '../packages/wire/dist/index.js';

const nodeId = process.argv[2];
const invariants = fakes.collectingInvariants([]);
const ownUpstream = new fakes.FakeUpstream();
const instances = new fakes.FakeInstances();
const bus = new TcpPeerBus({nodeId, nodeKey: Buffer.from('benchmark key')});
const ledger = new RetryLedger();
const versions = new fakes.FakeVersions();
const serving = new ServingHandler({
  upstream: ownUpstream,
  admission: new fakes.FakeAdmission(),
  quarantine: new fakes.FakeQuarantine(),
  stopped: versions,
  ledger,
  invariants,
});
const entry = new EntryHandler({
  config: new fakes.FakeConfig(),
  instances,
  versions,
  retries: new RetryBudget(),
  ledger,
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

/** Relays bytes only: what two process hops cost without the data path. */
let relayTarget = '';
const relay = net.createServer(socket => {
  const [host, port] = relayTarget.split(':');
  const other = net.connect({host, port: Number(port), noDelay: true});
  socket.setNoDelay(true);
  socket.pipe(other).pipe(socket);
  for (const end of [socket, other]) {
    end.on('error', () => {
      socket.destroy();
      other.destroy();
    });
  }
});
await once(relay.listen(0, '127.0.0.1'), 'listening');

const takers = {
  upstream: address => {
    const names = {service: 'files', version: 'v1', state: 'ready'};
    ownUpstream.own = {...names, address};
    relayTarget = address;
    process.send({
      url: `http://127.0.0.1:${server.address().port}`,
      relay: `127.0.0.1:${relay.address().port}`,
      wire: started.unwrapOr(''),
    });
  },
  sendTo: address => {
    instances.targets = [{nodeId: 'serving', address, local: false}];
  },
  relayTo: address => {
    relayTarget = address;
  },
  cpu: () => process.send(process.cpuUsage()),
};
process.on('message', message => {
  for (const [name, value] of Object.entries(message)) takers[name](value);
});
// A normal exit writes the profile of --cpu-prof.
process.once('SIGTERM', () => process.exit(0));

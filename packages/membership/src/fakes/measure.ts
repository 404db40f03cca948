/**
 * Prints the traffic, CPU and memory cost of the protocol by cluster size:
 * `node --expose-gc packages/membership/dist/fakes/measure.js [size ...]`.
 */
import {testSeed} from '@verbenabeam/testing';
import {decode, encode} from 'cbor-x';
import {MemberTable} from '../member-table.js';
import {decodeGossip, encodeGossip} from '../message-codec.js';
import type {GossipMessage} from '../messages.js';
import {decodeRecord, encodeRecord} from '../update.js';
import {FakeCluster} from './fake-cluster.js';

/** Frame overhead: 4 bytes of length and about 16 bytes of envelope. */
const frameBytes = 4 + 16;
const windowMs = 30_000;
const warmUpMs = 20_000;
const sizes = process.argv.slice(2).map(Number);
const seed = testSeed();

interface Traffic {
  bytes: number;
  messages: number;
  readonly perNode: number[];
}

type Event = (cluster: FakeCluster) => void;

/** Measures the traffic of all nodes in the window after an event. */
function trafficOf(size: number, event: Event) {
  const traffic: Traffic = {bytes: 0, messages: 0, perNode: []};
  const samples: GossipMessage[] = [];
  let counting = false;
  const cluster = new FakeCluster({
    seed,
    size,
    dataCentres: 7,
    onMessage: (from, message) => {
      if (!counting) return;
      const bytes = encode(encodeGossip(message)).length + frameBytes;
      traffic.bytes += bytes;
      traffic.messages++;
      traffic.perNode[from] = (traffic.perNode[from] ?? 0) + bytes;
      if (samples.length < 2000) samples.push(message);
    },
  });
  cluster.startAll();
  cluster.run(warmUpMs);
  counting = true;
  const before = process.cpuUsage();
  event(cluster);
  cluster.run(windowMs);
  const {user, system} = process.cpuUsage(before);
  return {traffic, samples, cluster, cpuMs: (user + system) / 1000};
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

/** Average time in microseconds to encode, decode and validate a message. */
function codecUs(samples: readonly GossipMessage[]): number {
  const begin = process.hrtime.bigint();
  for (const m of samples) decodeGossip(decode(encode(encodeGossip(m))));
  const ns = Number(process.hrtime.bigint() - begin);
  return ns / 1000 / samples.length;
}

function tableBytes(cluster: FakeCluster): number {
  const copies = 20;
  const [node] = cluster.nodes;
  const records = (node?.gossip.table.live() ?? []).map(encodeRecord);
  const tables: MemberTable[] = [];
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let i = 0; i < copies; i++) {
    const table = new MemberTable();
    const copy = decode(encode(records)) as typeof records;
    for (const tuple of copy) table.merge(decodeRecord(tuple), 0);
    table.live();
    tables.push(table);
  }
  globalThis.gc?.();
  return (process.memoryUsage().heapUsed - before) / tables.length;
}

/** Time in milliseconds until all live nodes see one upstream as draining. */
function drainMs(size: number, loss: number): number {
  const cluster = new FakeCluster({seed, size, dataCentres: 7});
  cluster.startAll();
  cluster.run(5000);
  cluster.faults.loss = loss;
  const [node] = cluster.nodes;
  if (!node) return Infinity;
  const begin = cluster.now;
  cluster.setUpstream(node, 'draining');
  const {nodeId} = node.gossip.own;
  const isSeen = () =>
    cluster.live.every(
      n => n.gossip.table.get(nodeId)?.upstream?.state === 'draining',
    );
  while (!isSeen() && cluster.now - begin < 30_000) cluster.run(20);
  return cluster.now - begin;
}

for (const size of sizes) {
  const rest = trafficOf(size, () => undefined);
  const seconds = windowMs / 1000;
  const perNode = (value: number) => round(value / size);
  const extra = (event: Event) => {
    const {traffic} = trafficOf(size, event);
    return {
      bytesPerNode: perNode(traffic.bytes - rest.traffic.bytes),
      messagesPerNode: perNode(traffic.messages - rest.traffic.messages),
    };
  };
  const figures = {
    size,
    seed,
    restBytesPerNodeSecond: perNode(rest.traffic.bytes / seconds),
    restMostBytesPerSecond: round(Math.max(...rest.traffic.perNode) / seconds),
    restMessagesPerNodeSecond: perNode(rest.traffic.messages / seconds),
    cpuShareOfCorePercent: (rest.cpuMs / size / windowMs) * 100,
    codecUsPerMessage: round(codecUs(rest.samples)),
    tableKb: round(tableBytes(rest.cluster) / 1024),
    joining: extra(cluster => cluster.restart(size - 1)),
    leaving: extra(cluster => {
      const node = cluster.nodes[size - 1];
      if (node) cluster.leave(node);
      cluster.kill(size - 1);
    }),
    dying: extra(cluster => {
      cluster.kill(size - 1);
    }),
    drainSeenMs: drainMs(size, 0),
    drainSeenWithLossMs: drainMs(size, 0.1),
  };
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

/**
 * Prints the network traffic after a mass event, in steps of 10 s:
 * `node packages/membership/dist/fakes/measure-mass.js restart 1300 150` when a
 * third of the nodes restarts at once, `... regions 1300 150` after a partition
 * of two regions that lasts an hour. The second argument is the number of
 * nodes, the third the observed time, and an optional fourth the duration of
 * the partition, both in seconds.
 */
import {testSeed} from '@verbenabeam/testing';
import {encode} from 'cbor-x';
import {encodeGossip} from '../message-codec.js';
import type {GossipMessage} from '../messages.js';
import {FakeCluster} from './fake-cluster.js';

/** Frame overhead: 4 bytes of length and about 16 bytes of envelope. */
const frameBytes = 4 + 16;
const warmUpMs = 20_000;
const stepMs = 10_000;

const [event = 'restart', size = '1300', seconds = '150', apart = '3600'] =
  process.argv.slice(2);
const byKind = new Map<string, number>();
let perNode: number[] = [];
let counting = false;

function count(from: number, message: GossipMessage): void {
  if (!counting) return;
  const bytes = encode(encodeGossip(message)).length + frameBytes;
  byKind.set(message.k, (byKind.get(message.k) ?? 0) + bytes);
  perNode[from] = (perNode[from] ?? 0) + bytes;
}

const events: Record<string, (cluster: FakeCluster) => void> = {
  restart: cluster => {
    for (const {index} of [...cluster.nodes]) {
      if (index % 3 === 2) cluster.restart(index);
    }
  },
  regions: cluster => {
    cluster.faults.blocked = (from, to) => from % 2 !== to % 2;
    cluster.run(Number(apart) * 1000);
    cluster.faults.blocked = () => false;
  },
};

const seed = testSeed();
const cluster = new FakeCluster({
  seed,
  size: Number(size),
  dataCentres: 7,
  onMessage: count,
});
cluster.startAll();
cluster.run(warmUpMs);
events[event]?.(cluster);
counting = true;
const eventAt = cluster.now;
let agreedAfter: number | null = null;
process.stdout.write(`${JSON.stringify({event, size, seed})}\n`);
for (let at = 0; at < Number(seconds) * 1000; at += stepMs) {
  byKind.clear();
  perNode = [];
  cluster.run(stepMs, () => {
    if (agreedAfter === null && cluster.agrees()) {
      agreedAfter = (cluster.now - eventAt) / 1000;
    }
  });
  const rate = (bytes: number) =>
    Math.round(bytes / (stepMs / 1000) / cluster.nodes.length);
  const kinds = [...byKind].map(([kind, bytes]) => [kind, rate(bytes)]);
  const figures = {
    untilSecond: (at + stepMs) / 1000,
    bytesPerNodeSecond: rate([...byKind.values()].reduce((a, b) => a + b, 0)),
    mostOfOneNode: Math.round(Math.max(...perNode) / (stepMs / 1000)),
    kinds: Object.fromEntries(kinds) as Record<string, number>,
    agrees: cluster.agrees(),
    agreedAfterSecond: agreedAfter,
  };
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

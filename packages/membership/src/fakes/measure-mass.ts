/**
 * Prints the cost of mass events over time:
 * `node packages/membership/dist/fakes/measure-mass.js restart 1300 150` for a
 * third of the nodes restarting at once, `... regions 1300 150` for two regions
 * that were apart for an hour. The third argument is the time observed, a fourth
 * the time for which the regions are apart, both in seconds.
 */
import {testSeed} from '@verbenabeam/testing';
import {encode} from 'cbor-x';
import {encodeGossip} from '../message-codec.js';
import type {GossipMessage} from '../messages.js';
import {FakeCluster} from './fake-cluster.js';

/** Length and kind of a message in a frame: 4 bytes and a short envelope. */
const frameBytes = 4 + 16;
const calmMs = 20_000;
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
cluster.run(calmMs);
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

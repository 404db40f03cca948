import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {documentText} from '../fleet/document-text.js';
import {Fleet} from '../fleet/fleet.js';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';
import type {PartOptions} from './part-options.js';

const changes = 12;
const changeGapMs = 150;
const documentBytes = 10_000;
const services = 3;
/** P10: a version is active everywhere within this time. */
const activeTimeoutMs = 10_000;
const callsPerSecond = 300;
const tickMs = 10;
const restartShare = 0.2;

interface Samples {
  readonly delays: number[];
  notConverged: number;
  callFailures: number;
}

/** Convergence of one fleet. */
class ConvergenceBench {
  readonly #fleet: Fleet;
  #changes = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Accepts a change; `accepted` runs before the wait for the last node. */
  async change(
    samples: Samples,
    accepted: () => Promise<unknown> = () => Promise.resolve(),
  ): Promise<void> {
    const timeout = `${1_000 + this.#changes++}ms`;
    const text = documentText({size: documentBytes, services, timeout});
    const done = await this.#fleet.submit(text, this.#changes);
    const active = this.#fleet.awaitVersion(done.version, activeTimeoutMs);
    await accepted();
    const {lastAt, missing} = await active;
    if (missing > 0) samples.notConverged++;
    else samples.delays.push(lastAt - done.acceptedAt);
    await sleep(changeGapMs);
  }

  async quiet(): Promise<Samples> {
    const samples = newSamples();
    for (let i = 0; i < changes; i++) await this.change(samples);
    return samples;
  }

  async underCalls(): Promise<Samples> {
    const samples = newSamples();
    const end = new AbortController();
    const load = this.#sendCalls(end.signal, samples);
    for (let i = 0; i < changes; i++) await this.change(samples);
    end.abort();
    await load;
    return samples;
  }

  async storeDown(): Promise<Samples> {
    const samples = newSamples();
    for (let i = 0; i < changes / 3; i++) {
      await this.change(samples, () =>
        this.#fleet.setStoreFaults({down: 'reset'}),
      );
      await this.#fleet.setStoreFaults({down: 'no'});
      // The circuit breaker of the accepting node must close again.
      await sleep(changeGapMs * 4);
    }
    return samples;
  }

  /** A fifth of the nodes stops and starts again while changes arrive. */
  async restarting(): Promise<Samples> {
    const samples = newSamples();
    const count = Math.max(
      1,
      Math.round(this.#fleet.nodes.length * restartShare),
    );
    const leaving = this.#fleet.nodes.slice(-count);
    await this.#fleet.removeNodes(leaving);
    const starting = Promise.all(
      leaving.map(({host}, i) => this.#fleet.addNode(1_000 + i, host)),
    );
    for (let i = 0; i < changes / 2; i++) await this.change(samples);
    await starting;
    return samples;
  }

  async #sendCalls(signal: AbortSignal, samples: Samples): Promise<void> {
    const dispatcher = new Agent({connections: 4});
    const pending = new Set<Promise<void>>();
    const startAt = Date.now();
    let sent = 0;
    while (!signal.aborted) {
      const due = ((Date.now() - startAt) / 1_000) * callsPerSecond;
      while (sent < due) {
        const node = this.#fleet.nodes[sent % this.#fleet.nodes.length];
        const url = `http://${node?.addresses.callers}/a/${sent % 50}/files/1`;
        const host = `host-${sent % 50}.internal`;
        sent++;
        const call = request(url, {dispatcher, headers: {host}})
          .then(async res => {
            await res.body.dump();
            if (res.statusCode !== 200) samples.callFailures++;
          })
          .catch(() => void samples.callFailures++)
          .then(() => undefined);
        pending.add(call);
        void call.finally(() => pending.delete(call));
      }
      await sleep(tickMs);
    }
    await Promise.all(pending);
    await dispatcher.close();
  }
}

function newSamples(): Samples {
  return {delays: [], notConverged: 0, callFailures: 0};
}

function toRow(nodes: number, scenario: string, samples: Samples): Row {
  const delays = build({numberOfSignificantValueDigits: 3});
  for (const delay of samples.delays) delays.recordValue(Math.max(0, delay));
  return {
    labels: {nodes, scenario},
    values: {
      changes: samples.delays.length + samples.notConverged,
      p50Ms: delays.getValueAtPercentile(50),
      p99Ms: delays.getValueAtPercentile(99),
      maxMs: delays.maxValue,
      notConverged: samples.notConverged,
      callFailures: samples.callFailures,
    },
    load: currentLoad(),
  };
}

/** Time from acceptance to active on the last node. @internal */
export async function measureConvergence(options: PartOptions): Promise<Row[]> {
  const rows: Row[] = [];
  for (const nodes of options.nodes) {
    const fleet = await Fleet.start({nodes, services});
    const bench = new ConvergenceBench(fleet);
    try {
      await bench.change(newSamples());
      rows.push(toRow(nodes, 'quiet', await bench.quiet()));
      rows.push(toRow(nodes, 'calls', await bench.underCalls()));
      rows.push(toRow(nodes, 'storeDown', await bench.storeDown()));
      rows.push(toRow(nodes, 'restarting', await bench.restarting()));
    } finally {
      await fleet.end();
    }
  }
  return rows;
}

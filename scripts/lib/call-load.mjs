/** Open-loop load of calls against the caller listeners of nodes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';

const tickMs = 10;
const msPerSecond = 1_000;

export class CallLoad {
  #agent = new Agent({connections: 64});
  #addresses;
  #running = false;
  #loop = Promise.resolve();
  #pending = new Set();
  #statuses = new Map();
  #versions = new Map();
  #failures = [];
  #lastCallId = '';
  #sent = 0;

  constructor(addresses) {
    this.#addresses = addresses;
  }

  /** Sends calls in turn to the nodes and paths until {@link stop}. */
  start({callsPerSecond, paths}) {
    this.#running = true;
    this.#loop = this.#run(callsPerSecond, paths);
  }

  /** Waits for the calls in flight and returns what was seen. */
  async stop() {
    this.#running = false;
    await this.#loop;
    await Promise.all(this.#pending);
    await this.#agent.close();
    const failed = this.#failures.length;
    const counts = [...this.#statuses].map(([k, v]) => `${k}: ${v}`).join(', ');
    const byVersion = [...this.#versions]
      .map(([k, v]) => `${k}: ${v}`)
      .join(', ');
    const detail = this.#failures.slice(0, 5).join('\n');
    return {
      failed,
      sent: this.#sent,
      versions: this.#versions,
      failures: this.#failures,
      lastCallId: this.#lastCallId,
      text: `${this.#sent} sent, ${failed} failed; HTTP ${counts}; configuration ${byVersion}\n${detail}`,
    };
  }

  async #run(callsPerSecond, paths) {
    const startAt = Date.now();
    while (this.#running) {
      const due = ((Date.now() - startAt) / msPerSecond) * callsPerSecond;
      while (this.#sent < due) this.#send(paths[this.#sent % paths.length]);
      await sleep(tickMs);
    }
  }

  #send(path) {
    const address = this.#addresses[this.#sent % this.#addresses.length];
    this.#sent++;
    const call = this.#call(`http://${address}${path}`);
    this.#pending.add(call);
    void call.finally(() => this.#pending.delete(call));
  }

  async #call(url) {
    try {
      const res = await request(url, {
        dispatcher: this.#agent,
        headers: {'vb-caller': 'lessor'},
      });
      const body = await res.body.text();
      count(this.#statuses, res.statusCode);
      count(this.#versions, res.headers['vb-config-version']);
      this.#lastCallId = res.headers['vb-call-id'];
      if (res.statusCode !== 200)
        this.#failures.push(`${res.statusCode} ${body}`);
    } catch (err) {
      this.#failures.push(String(err));
    }
  }
}

function count(counts, key) {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

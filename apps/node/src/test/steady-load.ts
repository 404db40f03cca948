import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {waitUntil} from '../../../../scripts/lib/environment.mjs';

/** What the caller saw of one call. @internal */
export interface SeenCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly key: string | null;
  readonly target: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 when the connection failed. */
  readonly status: number;
  /** Result code; 0 when there is none. */
  readonly code: number;
  readonly notRun: boolean;
  /** Id of the call, which `explain` takes; empty when there is none. */
  readonly callId: string;
  readonly configVersion: number;
  /** True for HTTP 200 with the complete body of this request. */
  readonly ok: boolean;
  readonly detail: string;
}

/** A request of a caller. @internal */
export interface CallSpec {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly key?: string;
}

const tickMs = 10;
const callTimeoutMs = 20_000;
/** Each fourth call is a write with a key. */
const writeEvery = 4;
const text = 'body of a write';

/** Open-loop load of reads and keyed writes, sent to the nodes in turn. @internal */
export class SteadyLoad {
  readonly seen: SeenCall[] = [];
  /** Sends no more writes. */
  readsOnly = false;
  readonly #agent = new Agent({connections: 64});
  readonly #pending = new Set<Promise<SeenCall>>();
  #targets: readonly string[] = [];
  #running = false;
  #loop: Promise<void> = Promise.resolve();
  #sent = 0;

  start(targets: readonly string[], callsPerSecond: number): void {
    this.#targets = targets;
    this.#running = true;
    this.#loop = this.#run(callsPerSecond);
  }

  get running(): boolean {
    return this.#running;
  }

  /** Sends the next calls to these nodes. */
  aim(targets: readonly string[]): void {
    this.#targets = targets;
  }

  /** Waits until so many more calls have ended. */
  async untilAnswered(count: number, timeoutMs = 15_000): Promise<void> {
    const from = this.seen.length;
    const answered = () => this.seen.length >= from + count;
    await waitUntil(answered, `${count} more calls ended`, timeoutMs);
  }

  /** Stops sending and waits for the calls in flight. */
  async stop(): Promise<void> {
    this.#running = false;
    await this.#loop;
    await Promise.all(this.#pending);
  }

  get failed(): SeenCall[] {
    return this.seen.filter(call => !call.ok);
  }

  /** Sends one call and records what was seen. */
  async send(target: string, spec: CallSpec): Promise<SeenCall> {
    const call = this.#call(target, spec);
    this.#pending.add(call);
    const seen = await call;
    this.#pending.delete(call);
    this.seen.push(seen);
    return seen;
  }

  async #run(callsPerSecond: number): Promise<void> {
    const startAt = Date.now();
    let due = 0;
    while (this.#running) {
      const until = ((Date.now() - startAt) / 1_000) * callsPerSecond;
      for (; due < until; due++) void this.#next();
      await sleep(tickMs);
    }
  }

  #next(): Promise<SeenCall> {
    const n = this.#sent++;
    const target = this.#targets[n % this.#targets.length] ?? '';
    const isWrite =
      !this.readsOnly &&
      Math.floor(n / this.#targets.length) % writeEvery === 0;
    return this.send(
      target,
      isWrite
        ? {method: 'POST', path: `/write/${n}`, key: `key-${n}`}
        : {method: 'GET', path: `/read/${n}`},
    );
  }

  async #call(target: string, spec: CallSpec): Promise<SeenCall> {
    const {method, path, key = null} = spec;
    const start = {method, path, key, target, sentAt: Date.now()};
    try {
      const res = await request(`http://${target}${path}`, {
        method,
        dispatcher: this.#agent,
        headers: {
          'vb-caller': 'lessor',
          ...(key === null ? {} : {'idempotency-key': key}),
        },
        body: method === 'POST' ? text : null,
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
      });
      const body = await res.body.text();
      const header = (name: string) => res.headers[name]?.toString() ?? '';
      const ok = res.statusCode === 200 && isWhole(spec, body);
      return {
        ...start,
        endedAt: Date.now(),
        status: res.statusCode,
        code: Number(header('vb-result')),
        notRun: res.statusCode !== 200 && body.includes('"notRun":true'),
        callId: header('vb-call-id'),
        configVersion: Number(header('vb-config-version')),
        ok,
        detail: ok ? '' : body.slice(0, 200),
      };
    } catch (err) {
      return {
        ...start,
        endedAt: Date.now(),
        status: 0,
        code: 0,
        notRun: false,
        callId: '',
        configVersion: 0,
        ok: false,
        detail: String(err),
      };
    }
  }
}

/** The upstream stand-in returns the body, or the request line. */
function isWhole({method, path}: CallSpec, body: string): boolean {
  if (method === 'POST') return body === text;
  const bytes = new URL(path, 'http://x').searchParams.get('bytes');
  if (bytes !== null) return body.length === Number(bytes);
  return body.startsWith(`GET ${path} `);
}

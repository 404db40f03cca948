import {once} from 'node:events';
import http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {logger, seededRandom} from '@verbenabeam/core';
import {Announcer} from './announcer.js';
import type {AnnouncedState} from './announcer.js';
import {faultEffect} from './faults.js';
import {standinSettings} from './options.js';
import type {StandinOptions, StandinSettings} from './options.js';
import {planOf, runRequest} from './request-run.js';
import {RunCounter} from './run-counter.js';
import {appendRunLog} from './run-log.js';
import {Slots} from './slots.js';

/** A running upstream. @public */
export interface UpstreamStandin {
  /** `ip:port` of its HTTP listener. */
  readonly address: string;
  readonly runs: RunCounter;
  readonly state: AnnouncedState;
  /** Requests that run now. */
  readonly inFlight: number;
  /** Requests whose caller went away before the answer ended. */
  readonly cancelled: number;
  /** Announces leaving, finishes what is in flight and stops. */
  stop(): Promise<void>;
  /** Cuts every connection and stops listening, as a crash does. */
  crash(): void;
}

/** Requests with this path crash the upstream. */
const crashPath = '/crash';
const notRunHeaders = {'vb-not-run': 'true'};
const log = logger('upstream-standin');

/** Starts an upstream in this process. @public */
export async function startUpstream(
  options: StandinOptions,
): Promise<UpstreamStandin> {
  const upstream = new Upstream(standinSettings(options));
  await upstream.start();
  return upstream;
}

class Upstream implements UpstreamStandin {
  readonly runs = new RunCounter();
  address = '';
  cancelled = 0;
  readonly #settings: StandinSettings;
  readonly #slots: Slots;
  readonly #rng;
  readonly #server = http.createServer((req, res) => {
    this.#take(req, res);
  });
  readonly #startedAt = performance.now();
  readonly #own: Readonly<Record<string, () => unknown>> = {
    '/standin/health': () => this.#health(),
    '/standin/load': () => this.#load(),
    '/standin/runs': () => ({
      total: this.runs.total,
      repeated: this.runs.repeated(),
    }),
  };
  #announcer: Announcer | null = null;
  #coldTimer: NodeJS.Timeout | null = null;

  constructor(settings: StandinSettings) {
    this.#settings = settings;
    this.#slots = new Slots(settings.slots, settings.queueLimit);
    this.#rng = seededRandom(settings.seed);
    this.#server.keepAliveTimeout = 60_000;
  }

  get state(): AnnouncedState {
    return this.#announcer?.state ?? 'cold';
  }

  get inFlight(): number {
    return this.#slots.used;
  }

  async start(): Promise<void> {
    const {host, port, coldStartMs} = this.#settings;
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
    const {port: bound} = this.#server.address() as AddressInfo;
    this.address = `${host}:${bound}`;
    const state = coldStartMs > 0 ? 'cold' : 'ready';
    this.#announcer = new Announcer(this.#settings, this.address, state);
    if (state === 'ready') return;
    this.#coldTimer = setTimeout(() => {
      void this.#announcer?.change('ready');
    }, coldStartMs);
  }

  async stop(): Promise<void> {
    if (this.#coldTimer) clearTimeout(this.#coldTimer);
    const {lingerMs, runLog} = this.#settings;
    await this.#announcer?.change('leaving');
    appendRunLog(runLog, {event: 'leaving'});
    if (lingerMs > 0) await sleep(lingerMs);
    const closed = new Promise(resolve => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    const sweep = setInterval(() => {
      this.#server.closeIdleConnections();
    }, 20);
    await closed;
    clearInterval(sweep);
    this.#announcer?.stop();
  }

  crash(): void {
    if (this.#coldTimer) clearTimeout(this.#coldTimer);
    this.#announcer?.stop();
    this.#server.close();
    this.#server.closeAllConnections();
    this.#settings.onCrash();
  }

  #take(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://standin');
    const own = this.#own[url.pathname];
    if (own) {
      res.setHeader('content-type', 'application/json');
      res.end(JSON.stringify(own()));
      return;
    }
    const cancel = new AbortController();
    const enter = () => void this.#run(req, res, url, cancel.signal);
    res.on('close', () => {
      if (res.writableFinished) return;
      this.cancelled++;
      this.#slots.forget(enter);
      cancel.abort();
    });
    const refusal = this.#refusal(req);
    if (refusal) refuse(res, ...refusal);
    else if (!this.#slots.tryEnter(enter)) refuse(res, 503, 'shed');
  }

  #refusal(req: IncomingMessage): [number, string] | null {
    if (this.state === 'cold') return [503, 'cold'];
    const deadline = Number(req.headers['vb-deadline-ms'] ?? Infinity);
    if (deadline < this.#settings.serviceMs) return [504, 'deadline'];
    return null;
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
    signal: AbortSignal,
  ): Promise<void> {
    const callId = req.headers['vb-call-id']?.toString();
    const key = req.headers['idempotency-key']?.toString();
    this.runs.add(callId, key);
    const path = url.pathname;
    appendRunLog(this.#settings.runLog, {event: 'run', path, key, callId});
    if (url.pathname === crashPath) {
      this.crash();
      return;
    }
    const effect = this.#faults(url.pathname);
    const plan = planOf(url, this.#settings.serviceMs);
    try {
      await runRequest(
        req,
        res,
        {
          ...plan,
          serviceMs: plan.serviceMs + effect.addedMs,
          status: effect.fails ? 500 : plan.status,
        },
        signal,
      );
    } catch (err) {
      log('Request ended early', {path: url.pathname, err: String(err)});
    } finally {
      this.#slots.leave();
    }
  }

  #faults(path: string) {
    const {faults, slots} = this.#settings;
    const ageMs = performance.now() - this.#startedAt;
    const usedShare = this.#slots.used / slots;
    return faultEffect(faults, {ageMs, usedShare, path}, this.#rng);
  }

  #health() {
    const healthy = this.#settings.misleading || this.state === 'ready';
    return {healthy};
  }

  #load() {
    if (this.#settings.misleading) return {inFlight: 0, queued: 0};
    return {inFlight: this.#slots.used, queued: this.#slots.queued};
  }
}

function refuse(res: ServerResponse, status: number, reason: string): void {
  res.writeHead(status, notRunHeaders);
  res.end(reason);
}

// Stand-ins of the platform for the scripts of this review: the metadata store,
// as PROTOCOL.md describes it, and small helpers. No dependencies.
import {randomInt} from 'node:crypto';
import http from 'node:http';
import net from 'node:net';

/** Waits some milliseconds. */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** A loopback network of this run, so that fixed ports of programs don't collide. */
export function loopbackNetwork() {
  const prefix = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
  let last = 0;
  return {next: () => `${prefix}.${++last}`};
}

/** A port that was free a moment ago on the address. */
export async function freePort(ip) {
  for (;;) {
    const port = randomInt(20_000, 32_000);
    const server = net.createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, ip, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

/** The metadata store: linearizable, keeps what it has acknowledged. */
export class Store {
  revision = 1;
  items = new Map();
  events = [];
  leases = new Map();
  #nextLease = 7000;
  #waiting = new Set();
  /** Called with each call; returns true if it has dealt with it. */
  intercept = null;

  async start(ip) {
    this.server = http.createServer((req, res) => void this.#handle(req, res));
    const port = await freePort(ip);
    await new Promise(resolve => this.server.listen(port, ip, resolve));
    this.address = `${ip}:${port}`;
  }

  stop() {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.#write(
      [{key, value: Buffer.from(text).toString('base64')}],
      [],
    );
  }

  get(key) {
    const item = this.items.get(key);
    return item ? Buffer.from(item.value, 'base64').toString('utf8') : null;
  }

  #write(puts, removed) {
    const revision = ++this.revision;
    for (const {key, value, lease = 0} of puts) {
      const created_rev = this.items.get(key)?.created_rev ?? revision;
      const item = {key, value, revision, created_rev, lease};
      this.items.set(key, item);
      this.events.push(item);
    }
    for (const key of removed) {
      if (this.items.delete(key))
        this.events.push({key, revision, tombstone: true});
    }
    for (const wake of [...this.#waiting]) wake();
    return revision;
  }

  async #handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const pieces = [];
    try {
      for await (const piece of req) pieces.push(piece);
    } catch {
      return;
    }
    const text = Buffer.concat(pieces).toString('utf8');
    const body = text === '' ? {} : JSON.parse(text);
    const [, first] = url.pathname.split('/');
    const name = `${req.method} /${first}`;
    if (this.intercept?.({name, url, body, req, res})) return;
    this.run(name, url, body, res);
  }

  /** Carries a call out and answers it. */
  run(name, url, body, res) {
    const q = url.searchParams;
    if (name === 'GET /kv-key') {
      const item = this.items.get(q.get('key'));
      if (item) answer(res, 200, {...item, as_of: this.revision});
      else answer(res, 404, {as_of: this.revision});
    } else if (name === 'GET /kv-range') this.#range(q, res);
    else if (name === 'GET /kv-watch') this.#watch(q, res);
    else if (name === 'POST /kv-txn') this.#txn(body, res);
    else if (name === 'POST /kv-lease') {
      const lease = ++this.#nextLease;
      this.#renew(lease, body.ttl_ms);
      answer(res, 200, {lease, ttl_ms: body.ttl_ms});
    } else if (name === 'POST /kv-keep') {
      const id = Number(url.pathname.split('/').at(-1));
      const known = this.leases.get(id);
      if (known) this.#renew(id, known.ttlMs);
      answer(res, known ? 200 : 404, known ? {ttl_ms: known.ttlMs} : {});
    } else if (name === 'DELETE /kv-lease-end') {
      const id = Number(url.pathname.split('/').at(-1));
      const known = this.leases.has(id);
      this.#expire(id);
      answer(res, known ? 200 : 404, {});
    } else answer(res, 404, {});
  }

  #range(q, res) {
    const prefix = q.get('prefix') ?? '';
    const after = q.get('after') ?? '';
    const keys = [...this.items.keys()]
      .sort()
      .filter(key => key.startsWith(prefix) && key > after);
    const items = keys.slice(0, 500).map(key => this.items.get(key));
    const has_more = keys.length > 500;
    answer(res, 200, {items, has_more, as_of: this.revision});
  }

  #watch(q, res) {
    const prefix = q.get('prefix') ?? '';
    const after = Number(q.get('after'));
    const reply = () => {
      const events = this.events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      if (events.length > 0) answer(res, 200, {events, as_of: this.revision});
      return events.length > 0;
    };
    if (reply()) return;
    const end = () => {
      this.#waiting.delete(wake);
      clearTimeout(timer);
    };
    const wake = () => {
      if (reply()) end();
    };
    const timer = setTimeout(
      () => {
        end();
        answer(res, 200, {events: [], as_of: this.revision});
      },
      Number(q.get('wait_ms')),
    );
    this.#waiting.add(wake);
    res.on('close', end);
  }

  #txn(body, res) {
    const compares = body.expected_rev ?? [];
    const holds = compares.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = compares.flatMap(({key}) => this.items.get(key) ?? []);
      answer(res, 412, {items});
      return;
    }
    const leases = (body.put_items ?? []).map(({lease}) => lease ?? 0);
    if (leases.some(lease => lease !== 0 && !this.leases.has(lease))) {
      answer(res, 404, {});
      return;
    }
    const revision = this.#write(body.put_items ?? [], body.remove ?? []);
    answer(res, 200, {revision});
  }

  #renew(id, ttlMs) {
    clearTimeout(this.leases.get(id)?.timer);
    const timer = setTimeout(() => this.#expire(id), ttlMs);
    this.leases.set(id, {ttlMs, timer});
  }

  #expire(id) {
    clearTimeout(this.leases.get(id)?.timer);
    if (!this.leases.delete(id)) return;
    const items = [...this.items.values()].filter(({lease}) => lease === id);
    if (items.length > 0)
      this.#write(
        [],
        items.map(({key}) => key),
      );
  }
}

function answer(res, status, body) {
  if (res.destroyed || res.writableEnded) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

/** A configuration in the platform's form; rules of one host. */
export function configOf(version, rules, services) {
  return {
    version: version.toString(16).padStart(8, '0'),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    listeners: [
      {
        host: HOST,
        rules: rules.map((rule, i) => ({
          name: `r${i}`,
          kind: rule.kind ?? 'safe',
          target_latency_ms: rule.targetMs ?? 800,
          priority: rule.priority ?? 1,
          match: {prefix: rule.prefix},
          action: {
            service: rule.service,
            timeout_ms: rule.timeoutMs ?? 1_500,
            max_attempts: rule.attempts ?? 2,
          },
        })),
      },
    ],
    clusters: services.map(name => ({
      name,
      health_path: '/healthz',
      max_connections: 120,
      protocol: 'h1',
      tls: false,
    })),
  };
}

/** Host of all routes. */
export const HOST = 'jepu9.example';

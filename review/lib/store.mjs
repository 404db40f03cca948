/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';
import {once} from 'node:events';

const pageItems = 500;

export class Store {
  /** Calls by method and path, for the record. */
  calls = new Map();
  #items = new Map();
  #events = [];
  #waiting = new Set();
  #leases = new Map();
  #revision = 1;
  #nextLease = 100;
  #server;

  async start(host, port) {
    this.#server = createServer((req, res) => void this.#handle(req, res));
    this.#server.keepAliveTimeout = 60_000;
    await once(this.#server.listen(port, host), 'listening');
    return `${host}:${port}`;
  }

  stop() {
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Writes a document as the operator does; returns its revision. */
  put(key, document) {
    const value = Buffer.from(JSON.stringify(document)).toString('base64');
    return this.#write([{key, value, lease: 0}], []);
  }

  /** Reads a document as the operator does. */
  read(key) {
    const item = this.#items.get(key);
    if (!item) return null;
    return JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  async #handle(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(req.url, 'http://store');
    const [, first, id] = url.pathname.split('/');
    const name = `${req.method} /${first}`;
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text === '' ? {} : JSON.parse(text);
    const query = url.searchParams;
    if (name === 'GET /kv-key') this.#get(query, res);
    else if (name === 'GET /kv-range') this.#range(query, res);
    else if (name === 'GET /kv-watch') this.#watch(query, res);
    else if (name === 'POST /kv-txn') this.#txn(body, res);
    else if (name === 'POST /kv-lease') this.#grant(body, res);
    else if (name === 'POST /kv-keep') this.#keep(Number(id), res);
    else if (name === 'DELETE /kv-lease-end') this.#endLease(Number(id), res);
    else send(res, 404, {});
  }

  #get(query, res) {
    const item = this.#items.get(query.get('key'));
    if (item) send(res, 200, {...item, as_of: this.#revision});
    else send(res, 404, {as_of: this.#revision});
  }

  #range(query, res) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.#items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys.slice(0, pageItems).map(key => this.#items.get(key));
    send(res, 200, {
      items,
      has_more: keys.length > pageItems,
      as_of: this.#revision,
    });
  }

  #watch(query, res) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const reply = isDue => {
      const events = this.#events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      if (events.length === 0 && !isDue) return false;
      send(res, 200, {events, as_of: this.#revision});
      return true;
    };
    if (reply(false)) return;
    const wake = isDue => {
      if (!reply(isDue)) return;
      this.#waiting.delete(wake);
      clearTimeout(timer);
    };
    const timer = setTimeout(() => wake(true), Number(query.get('wait_ms')));
    this.#waiting.add(wake);
    res.on('close', () => {
      this.#waiting.delete(wake);
      clearTimeout(timer);
    });
  }

  #txn({expected_rev: expected = [], put_items: puts = [], remove = []}, res) {
    const holds = expected.every(
      ({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({key}) => this.#items.get(key) ?? []);
      send(res, 412, {items});
      return;
    }
    const isLeaseGone = puts.some(
      ({lease}) => lease && !this.#leases.has(Number(lease)),
    );
    if (isLeaseGone) {
      send(res, 404, {});
      return;
    }
    send(res, 200, {revision: this.#write(puts, remove)});
  }

  #grant({ttl_ms: ttlMs}, res) {
    const lease = ++this.#nextLease;
    const timer = setTimeout(() => this.#expire(lease), ttlMs);
    this.#leases.set(lease, {timer});
    send(res, 200, {lease, ttl_ms: ttlMs});
  }

  #keep(lease, res) {
    const known = this.#leases.get(lease);
    known?.timer.refresh();
    send(res, known ? 200 : 404, {});
  }

  #endLease(lease, res) {
    const isKnown = this.#leases.has(lease);
    if (isKnown) this.#expire(lease);
    send(res, isKnown ? 200 : 404, {});
  }

  #expire(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    const gone = [...this.#items.values()].filter(row => row.lease === lease);
    if (gone.length === 0) return;
    this.#write(
      [],
      gone.map(({key}) => key),
    );
  }

  #write(puts, removed) {
    const revision = ++this.#revision;
    for (const {key, value, lease} of puts) {
      const createdRev = this.#items.get(key)?.created_rev ?? revision;
      const item = {
        key,
        value,
        revision,
        created_rev: createdRev,
        lease: Number(lease ?? 0),
      };
      this.#items.set(key, item);
      this.#events.push(item);
    }
    for (const key of removed) {
      if (this.#items.delete(key))
        this.#events.push({key, revision, tombstone: true});
    }
    for (const wake of [...this.#waiting]) wake(false);
    return revision;
  }
}

function send(res, status, body) {
  if (res.destroyed || res.writableEnded) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

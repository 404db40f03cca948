import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {logger, systemClock} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {MemoryState} from '@verbenabeam/store/fakes';
import type {StateImage} from '@verbenabeam/store/fakes';
import {ZodError} from 'zod';
import {Faults, faultSettings} from './faults.js';
import type {FaultSettings, StandinCounts} from './faults.js';
import {
  eventOf,
  GatewayError,
  gatewayRoutes,
  headerOf,
} from './gateway-routes.js';
import type {Route} from './gateway-routes.js';
import {watchRequest} from './gateway-schemas.js';

/** Options of {@link startStoreStandin}. @public */
export interface StoreStandinOptions {
  /** Default 127.0.0.1. */
  readonly host?: string;
  /** Default 0: a free port. */
  readonly port?: number;
  readonly faults?: FaultSettings;
  readonly clock?: Clock;
}

/** A running stand-in. @public */
export interface StoreStandin {
  /** Base URL for `HttpStore`. */
  readonly url: string;
  readonly state: MemoryState;
  readonly counts: StandinCounts;
  setFaults(settings: FaultSettings): void;
  /** Remembers the current state under a name. */
  saveImage(name: string): void;
  /** Restores a remembered state; false when the name is unknown. */
  restoreImage(name: string): boolean;
  close(): Promise<void>;
}

const log = logger('store-standin');
const expiryIntervalMs = 100;
const resourceExhausted = [429, 8] as const;
const noLeader = [503, 14] as const;
const notFoundStatus = 404;

/** Starts the stand-in in this process. @public */
export async function startStoreStandin(
  options: StoreStandinOptions = {},
): Promise<StoreStandin> {
  const standin = new StandinServer(options.clock ?? systemClock);
  if (options.faults) standin.setFaults(options.faults);
  await standin.listen(options.host ?? '127.0.0.1', options.port ?? 0);
  return standin;
}

class StandinServer implements StoreStandin {
  readonly state = new MemoryState();
  readonly #faults = new Faults();
  readonly #images = new Map<string, StateImage>();
  readonly #server: Server;
  readonly #clock: Clock;
  readonly #expiry: NodeJS.Timeout;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch((err: unknown) => respondError(res, err));
    });
    const expire = () => this.state.expire(clock.now());
    this.#expiry = setInterval(expire, expiryIntervalMs);
  }

  get url(): string {
    const {address, port} = this.#server.address() as AddressInfo;
    return `http://${address}:${String(port)}`;
  }

  get counts(): StandinCounts {
    return this.#faults.counts;
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    log('listening', {url: this.url});
  }

  setFaults(settings: FaultSettings): void {
    this.#faults.set(settings);
    if (this.#faults.down !== 'no') this.state.dropWatches();
    log('faults set', settings);
  }

  saveImage(name: string): void {
    this.#images.set(name, this.state.image());
  }

  restoreImage(name: string): boolean {
    const image = this.#images.get(name);
    if (image) this.state.restore(image);
    return image !== undefined;
  }

  async close(): Promise<void> {
    clearInterval(this.#expiry);
    this.state.dropWatches();
    const closed = new Promise(resolve => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? '';
    if (path.startsWith('/control/')) return this.#control(path, req, res);
    const route = gatewayRoutes[path];
    const isWatch = path === '/v3/watch';
    if (!route && !isWatch) {
      respond(res, notFoundStatus, {code: 5, message: 'Not Found'});
      return;
    }
    if (this.#faults.down === 'reset') {
      req.socket.destroy();
      return;
    }
    const body = await json(req);
    this.#admit(path, route?.isWrite ?? false);
    await delay(this.#faults.latencyMs);
    if (isWatch) this.#watch(body, res);
    else if (route) this.#call(route, body, res);
  }

  #admit(path: string, isWrite: boolean): void {
    if (!this.#faults.admit(path, isWrite, this.#clock.now())) {
      throw new GatewayError(
        ...resourceExhausted,
        'etcdserver: too many requests',
      );
    }
    if (this.#faults.down === 'noLeader') {
      throw new GatewayError(...noLeader, 'etcdserver: no leader');
    }
  }

  #call(route: Route, body: unknown, res: ServerResponse): void {
    const now = this.#clock.now();
    this.state.expire(now);
    const result = route.run(this.state, body, now);
    if (route.isWrite && this.#faults.losesResponse()) res.destroy();
    else respond(res, 200, result);
  }

  #watch(body: unknown, res: ServerResponse): void {
    const {key, range_end, start_revision} =
      watchRequest.parse(body).create_request;
    const send = (message: object) =>
      res.write(`${JSON.stringify({result: message})}\n`);
    res.writeHead(200, {'content-type': 'application/json'});
    send({header: headerOf(this.state), created: true});
    const end = this.state.subscribe({
      key,
      prefix: range_end !== undefined,
      fromRevision: start_revision,
      onEvents: events => {
        send({header: headerOf(this.state), events: events.map(eventOf)});
      },
      onLost: () => res.destroy(),
    });
    res.once('close', end);
  }

  async #control(
    path: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const name = new URL(path, this.url).searchParams.get('name') ?? 'default';
    const handlers: Record<string, () => unknown> = {
      '/control/faults': async () =>
        this.setFaults(faultSettings.parse(await json(req))),
      '/control/save': () => this.saveImage(name),
      '/control/restore': () => {
        if (this.restoreImage(name)) return;
        throw new GatewayError(notFoundStatus, 5, `no saved state "${name}"`);
      },
      '/control/counts': () => undefined,
    };
    const handler = handlers[path.split('?')[0] ?? ''];
    if (!handler) throw new GatewayError(notFoundStatus, 5, 'Not Found');
    await handler();
    respond(res, 200, {counts: this.counts, revision: this.state.revision});
  }
}

function respond(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

function respondError(res: ServerResponse, err: unknown): void {
  if (res.destroyed || res.headersSent) return;
  if (err instanceof GatewayError) {
    const {status, grpcCode, message} = err;
    respond(res, status, {code: grpcCode, message, error: message});
    return;
  }
  const isInvalid = err instanceof ZodError || err instanceof SyntaxError;
  const message = err instanceof Error ? err.message : String(err);
  if (isInvalid) respond(res, 400, {code: 3, message});
  else respond(res, 500, {code: 13, message});
}

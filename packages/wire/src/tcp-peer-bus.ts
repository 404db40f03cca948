import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Result} from 'true-myth';
import {logger, MeshError, WIRE_CODES} from '@verbenabeam/core';
import {busSettings, parseAddress} from './bus-options.js';
import type {BusSettings, TcpPeerBusOptions} from './bus-options.js';
import {Connection} from './connection.js';
import {ConnectionPool} from './connection-pool.js';
import {ConnectionAcceptor} from './connection-acceptor.js';
import type {FrameSocket} from './frame-socket.js';
import type {PeerIdentity} from './handshake.js';
import {HandlerTable} from './handler-table.js';
import {KindCounts} from './kind-counts.js';
import {TRAFFIC_CLASSES} from './peer-bus.js';
import type {
  ByteCounts,
  ByteStream,
  NoticeHandler,
  PeerAddress,
  PeerBus,
  RequestHandler,
  RequestOptions,
  StreamOptions,
  StreamHandler,
} from './peer-bus.js';
import {createServer} from './transport.js';
import {cancelled} from './wire-errors.js';

/** Time in which refusals reach peers that sent before they saw the close. */
const closeGraceMs = 50;
const sweepMs = 1000;
/** A sweep that comes later after the last one was held up by its own node, in ms. */
const lateSweepMs = 1.5 * sweepMs;
const log = logger('wire');

/** {@link PeerBus} over TCP, optionally with TLS. @public */
export class TcpPeerBus implements PeerBus {
  readonly #settings: BusSettings;
  readonly #handlers = new HandlerTable();
  readonly #counters = {
    control: {sent: 0, received: 0},
    call: {sent: 0, received: 0},
  };
  readonly #sentByKind = new KindCounts();
  readonly #pool: ConnectionPool;
  readonly #acceptor: ConnectionAcceptor;
  #server: Server | null = null;
  #sweeper: NodeJS.Timeout | null = null;
  #sweptAt = 0;
  #unknownResponses = 0;
  #closed = false;

  constructor(options: TcpPeerBusOptions) {
    this.#settings = busSettings(options);
    const shared = {
      settings: this.#settings,
      counters: this.#counters,
      connect: (
        socket: FrameSocket,
        peer: PeerIdentity,
        onClose: (connection: Connection) => void,
      ) => new Connection(socket, this.#connectionOptions(peer, onClose)),
    };
    this.#pool = new ConnectionPool(shared);
    this.#acceptor = new ConnectionAcceptor(shared);
  }

  /** Responses that were dropped because their request is not known. */
  get unknownResponses(): number {
    return this.#unknownResponses;
  }

  /**
   * Listens on `ip:port`; port 0 chooses a free one. An abort of the signal
   * closes the bus.
   *
   * @returns the address with the actual port, or `wire.listenFailed`.
   */
  async start(
    listenAddress: PeerAddress,
    signal?: AbortSignal,
  ): Promise<Result<PeerAddress, MeshError>> {
    const server = createServer(this.#settings.tls, (socket, binding) => {
      this.#acceptor.accept(socket, binding);
    });
    const target = parseAddress(listenAddress);
    try {
      server.listen(target);
      await once(server, 'listening');
    } catch (err) {
      return Result.err(
        new MeshError(WIRE_CODES.listenFailed, String(err), {listenAddress}),
      );
    }
    this.#server = server;
    server.on('error', err => {
      log('Listener failed', {err: err.message});
    });
    this.#sweptAt = performance.now();
    this.#sweeper = setInterval(() => {
      this.#sweep();
    }, sweepMs).unref();
    signal?.addEventListener('abort', () => void this.close(), {once: true});
    const {port} = server.address() as AddressInfo;
    return Result.ok(`${target.host}:${port}`);
  }

  /**
   * Refuses what is new, then closes every connection. Exchanges in flight are
   * lost; the owner ends them first.
   */
  async close(): Promise<void> {
    if (this.#closed) return;
    this.#closed = true;
    this.#handlers.closing = true;
    this.#server?.close();
    this.#acceptor.goAway();
    if (this.#acceptor.connections.length > 0) await sleep(closeGraceMs);
    if (this.#sweeper) clearInterval(this.#sweeper);
    const err = new MeshError(WIRE_CODES.connectionLost, 'The bus is closed');
    this.#acceptor.close(err);
    this.#pool.close(err);
  }

  async request(
    peer: PeerAddress,
    kind: string,
    body: unknown,
    options: RequestOptions,
  ): Promise<Result<unknown, MeshError>> {
    const startAt = performance.now();
    const found = await this.#connection(peer, 'control', options);
    if (found.isErr) return Result.err(found.error);
    const timeoutMs = options.timeoutMs - (performance.now() - startAt);
    return found.value.request(kind, body, {...options, timeoutMs});
  }

  notify(peer: PeerAddress, kind: string, body: unknown): void {
    const open = this.#pool.open(peer, TRAFFIC_CLASSES.control);
    if (open) {
      open.notify(kind, body);
      return;
    }
    void this.#pool.get(peer, TRAFFIC_CLASSES.control).then(found => {
      if (found.isOk) found.value.notify(kind, body);
    });
  }

  async openStream(
    peer: PeerAddress,
    kind: string,
    head: () => unknown,
    options: StreamOptions,
  ): Promise<Result<ByteStream, MeshError>> {
    const open = this.#pool.open(peer, TRAFFIC_CLASSES.call);
    if (open && !options.signal?.aborted) {
      const failed = options.pingFirst ? await open.pinged(options) : null;
      if (failed) return Result.err(failed);
      return open.openStream(kind, head(), options.signal);
    }
    const found = await this.#connection(peer, 'call', options);
    if (found.isErr) return Result.err(found.error);
    if (options.signal?.aborted) return Result.err(cancelled());
    return found.value.openStream(kind, head(), options.signal);
  }

  openStreamNow(
    peer: PeerAddress,
    kind: string,
    head: unknown,
  ): Result<ByteStream, MeshError> | null {
    const open = this.#pool.open(peer, TRAFFIC_CLASSES.call);
    return open && open.openStream(kind, head);
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.#handlers.requests.set(kind, handler);
  }

  onNotice(kind: string, handler: NoticeHandler): void {
    this.#handlers.notices.set(kind, handler);
  }

  onStream(kind: string, handler: StreamHandler): void {
    this.#handlers.streams.set(kind, handler);
  }

  bytes(): ByteCounts {
    const {control, call} = this.#counters;
    return {control: {...control}, call: {...call}};
  }

  sentByKind(): Readonly<Record<string, number>> {
    return this.#sentByKind.totals();
  }

  /** Gets a connection within the time limit and unless aborted. */
  async #connection(
    peer: PeerAddress,
    trafficClass: 'control' | 'call',
    {timeoutMs, signal}: RequestOptions,
  ): Promise<Result<Connection, MeshError>> {
    if (signal?.aborted) return Result.err(cancelled());
    const limit = new AbortController();
    const timer = setTimeout(() => {
      limit.abort();
    }, timeoutMs);
    const stop = AbortSignal.any(
      signal ? [limit.signal, signal] : [limit.signal],
    );
    const stopped = new Promise<Result<Connection, MeshError>>(resolve => {
      stop.addEventListener('abort', () => {
        const message = `No connection within ${timeoutMs} ms`;
        resolve(
          Result.err(
            signal?.aborted
              ? cancelled()
              : new MeshError(WIRE_CODES.unreachable, message, {peer}),
          ),
        );
      });
    });
    const found = await Promise.race([
      this.#pool.get(peer, trafficClass),
      stopped,
    ]);
    clearTimeout(timer);
    return found;
  }

  #connectionOptions(
    peer: PeerIdentity,
    onClose: (connection: Connection) => void,
  ) {
    return {
      peer,
      handlers: this.#handlers,
      streamCreditBytes: this.#settings.streamCreditBytes,
      sentByKind: this.#sentByKind,
      onUnknownResponse: () => {
        this.#unknownResponses++;
      },
      onClose,
    };
  }

  /** Closes idle and silent connections. The opener closes idle ones first. */
  #sweep(): void {
    const now = performance.now();
    const isLate = now - this.#sweptAt > lateSweepMs;
    this.#sweptAt = now;
    const opened = this.#pool.connections;
    const accepted = this.#acceptor.connections;
    if (isLate) {
      // This node has read nothing meanwhile, whatever its peers have sent.
      for (const connection of [...opened, ...accepted]) {
        connection.excusedAt = now;
        connection.ping();
      }
      return;
    }
    const {idleMs} = this.#settings;
    this.#pool.sweep(idleMs);
    for (const connection of accepted) {
      this.#pool.sweepOne(connection, 2 * idleMs);
    }
  }
}

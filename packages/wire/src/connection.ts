import {Result} from 'true-myth';
import {logger, MeshError, WIRE_CODES} from '@verbenabeam/core';
import {
  encodeFrame,
  FRAME_TYPES,
  LENGTH_BYTES,
  MAX_FRAME_BYTES,
} from './frame.js';
import type {Frame} from './frame.js';
import type {FrameSink, FrameSocket} from './frame-socket.js';
import type {PeerIdentity} from './handshake.js';
import type {HandlerTable} from './handler-table.js';
import type {KindCounts} from './kind-counts.js';
import type {StreamLink} from './mux-stream.js';
import {TRAFFIC_CLASSES} from './peer-bus.js';
import type {ByteStream, PeerContext, RequestOptions} from './peer-bus.js';
import {OneWayDelay} from './one-way-delay.js';
import {PendingRequests} from './pending-requests.js';
import {Pings} from './pings.js';
import {RequestServer} from './request-server.js';
import {StreamTable} from './stream-table.js';
import {
  asLost,
  connectionClosed,
  errorFromFrame,
  unread,
} from './wire-errors.js';

/** What a connection needs besides its socket. @internal */
export interface ConnectionOptions {
  readonly peer: PeerIdentity;
  readonly handlers: HandlerTable;
  readonly streamCreditBytes: number;
  /** Where control messages are counted. */
  readonly sentByKind: KindCounts;
  /** Called for a response whose request is not known (any more). */
  readonly onUnknownResponse: () => void;
  readonly onClose: (connection: Connection) => void;
}

/** Names under which frames without a kind are counted. */
const countedAs: Readonly<Record<number, string>> = {
  [FRAME_TYPES.response]: 'response',
  [FRAME_TYPES.failure]: 'response',
};
/** A peer that does not read is not sent more than this many bytes. */
const maxPendingBytes = 8 * MAX_FRAME_BYTES;
const log = logger('wire');

/** An authenticated connection: requests, notices and streams. @internal */
export class Connection implements FrameSink, StreamLink {
  readonly #socket: FrameSocket;
  readonly #options: ConnectionOptions;
  readonly #pending = new PendingRequests();
  readonly #pings = new Pings(frame => this.#send(frame));
  readonly #streams: StreamTable;
  readonly #context: PeerContext;
  readonly #ended = new AbortController();
  readonly #server: RequestServer;
  readonly #delay = new OneWayDelay();
  /** Time until which silence says nothing about the peer. */
  excusedAt = performance.now();
  #nextId = 1;
  #goingAway = false;
  #lastUseAt = performance.now();
  #lastSentAt = -Infinity;
  readonly #takers: Readonly<Record<number, (frame: Frame) => void>> = {
    [FRAME_TYPES.request]: f => this.#server.take(f),
    [FRAME_TYPES.response]: f => this.#settle(f, Result.ok(f[2])),
    [FRAME_TYPES.failure]: f => this.#settle(f, Result.err(errorFromFrame(f))),
    [FRAME_TYPES.notice]: f => this.#takeNotice(f),
    [FRAME_TYPES.open]: f => this.#takeOpen(f),
    [FRAME_TYPES.head]: f => {
      const stream = this.#streams.get(f[1]);
      if (stream?.takeHead(f[2]) === false) this.#refuseRepeated('head', f);
    },
    [FRAME_TYPES.end]: f => {
      const stream = this.#streams.get(f[1]);
      if (stream?.takeEnd(f[2]) === false) this.#refuseRepeated('end', f);
    },
    [FRAME_TYPES.reset]: f =>
      this.#streams.get(f[1])?.takeReset(errorFromFrame(f)),
    [FRAME_TYPES.credit]: f => this.#takeCredit(f),
    [FRAME_TYPES.ping]: f => {
      this.#ageOf(f[1]);
      this.send([FRAME_TYPES.pong, performance.now()]);
    },
    [FRAME_TYPES.pong]: f => {
      this.#ageOf(f[1]);
      this.#pings.takePong();
    },
    [FRAME_TYPES.goAway]: () => {
      this.#goingAway = true;
    },
  };

  constructor(socket: FrameSocket, options: ConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#streams = new StreamTable(this, options.streamCreditBytes);
    const {signal} = this.#ended;
    this.#context = {
      nodeId: options.peer.nodeId,
      signal,
      notify: (kind, body) => this.notify(kind, body).isOk,
    };
    this.#count('handshake', socket.queuedBytes);
    this.#server = new RequestServer(
      {send: frame => this.#respond(frame)},
      options.handlers,
      this.#context,
    );
    socket.sink = this;
    socket.allowLargeFrames();
  }

  /** Whether new requests and streams may start here. */
  get usable(): boolean {
    return !this.#socket.closed && !this.#goingAway;
  }

  /** Whether a request or stream of either side is open, or a pong is awaited. */
  get busy(): boolean {
    const own = this.#pending.size + this.#pings.waiting;
    return own + this.#streams.size + this.#server.running > 0;
  }

  /** Whether nothing was read since something was sent that began here. */
  get unheard(): boolean {
    return this.#lastSentAt > this.lastReadAt;
  }

  /** Time of the last request, notice or stream, in milliseconds. */
  get lastUseAt(): number {
    return this.#lastUseAt;
  }

  /** Time of the last read, in milliseconds. */
  get lastReadAt(): number {
    return this.#socket.lastReadAt;
  }

  /** Sends a request; see `PeerBus.request`. */
  async request(
    kind: string,
    body: unknown,
    options: RequestOptions,
  ): Promise<Result<unknown, MeshError>> {
    const id = this.#nextId++;
    const sent = this.#sendFirst([FRAME_TYPES.request, id, kind, body], kind);
    if (sent.isErr) return Result.err(sent.error);
    return this.#pending.add(id, sent.value, options);
  }

  /** Sends a notice; see `PeerBus.notify`. */
  notify(kind: string, body: unknown): Result<number, MeshError> {
    return this.#sendFirst([FRAME_TYPES.notice, kind, body], kind);
  }

  /** Opens a stream; see `PeerBus.openStream`. */
  openStream(
    kind: string,
    head: unknown,
    signal?: AbortSignal,
  ): Result<ByteStream, MeshError> {
    const id = this.#nextId++;
    const frame: Frame = [FRAME_TYPES.open, id, kind, head, performance.now()];
    const sent = this.#sendFirst(frame, kind);
    if (sent.isErr) return Result.err(sent.error);
    return Result.ok(this.#streams.open(id, sent.value, signal));
  }

  /** Sends a ping, whose response counts as a read. */
  ping(): void {
    this.#pings.send();
  }

  /** Sends a ping and waits for its response; returns the error without one. */
  async pinged(options: RequestOptions): Promise<MeshError | null> {
    if (!this.usable) return connectionClosed();
    return this.#pings.untilAnswered(options);
  }

  /** Tells the peer to start nothing new here. */
  goAway(): void {
    this.#goingAway = true;
    this.send([FRAME_TYPES.goAway]);
  }

  /** Writes what is queued and ends the connection. */
  end(): void {
    this.#socket.endAfterFlush();
  }

  close(err: MeshError): void {
    this.#socket.close(err);
  }

  send(frame: Frame): void {
    this.#send(frame);
  }

  sendChunk(streamId: number, bytes: Uint8Array): void {
    this.#socket.sendChunk(streamId, bytes);
  }

  forget(streamId: number): void {
    this.#streams.forget(streamId);
    this.#lastUseAt = performance.now();
  }

  onFrame(frame: Frame): void {
    const take = this.#takers[frame[0]];
    if (take) take(frame);
    else this.#refuseFrame(`Frame type ${frame[0]} is not known`);
  }

  onChunk(streamId: number, bytes: Buffer): void {
    const stream = this.#streams.get(streamId);
    if (!stream || stream.takeChunk(bytes)) return;
    this.#refuseFrame(`Stream ${streamId} exceeds its credit`);
  }

  onClose(err: MeshError): void {
    log('Connection closed', {
      peer: this.#context.nodeId,
      code: err.code.code,
      reason: err.message,
    });
    const lost = asLost(err);
    const wasFlushed = (number: number) => this.#socket.wasFlushed(number);
    this.#pending.failAll(lost, wasFlushed);
    this.#pings.failAll(lost);
    this.#streams.resetAll(lost, err, wasFlushed);
    this.#ended.abort(lost);
    this.#options.onClose(this);
  }

  /** Sends the first frame of an exchange; refuses without sending a byte. */
  #sendFirst(frame: Frame, kind: string): Result<number, MeshError> {
    if (!this.usable) return Result.err(connectionClosed());
    if (this.#socket.pendingBytes > maxPendingBytes) {
      return Result.err(unread());
    }
    const bytes = encodeFrame(frame);
    if (bytes.length - LENGTH_BYTES > MAX_FRAME_BYTES) {
      return Result.err(
        new MeshError(
          WIRE_CODES.frameTooLarge,
          `A frame of ${bytes.length} bytes exceeds ${MAX_FRAME_BYTES}`,
        ),
      );
    }
    this.#lastUseAt = performance.now();
    this.#lastSentAt = this.#lastUseAt;
    this.#count(kind, bytes.length);
    return Result.ok(this.#socket.sendEncoded(bytes));
  }

  #send(frame: Frame): number {
    const bytes = encodeFrame(frame);
    this.#count(countedAs[frame[0]] ?? 'link', bytes.length);
    return this.#socket.sendEncoded(bytes);
  }

  #count(kind: string, bytes: number): void {
    const {peer, sentByKind} = this.#options;
    if (peer.trafficClass !== TRAFFIC_CLASSES.control) return;
    sentByKind.add(kind, bytes);
  }

  /** A peer that asks and does not read the responses is given up. */
  #respond(frame: Frame): void {
    if (this.#socket.pendingBytes <= maxPendingBytes) this.send(frame);
    else this.close(asLost(unread()));
  }

  #settle(frame: Frame, outcome: Result<unknown, MeshError>): void {
    if (this.#pending.settle(Number(frame[1]), outcome)) return;
    this.#options.onUnknownResponse();
  }

  #takeNotice([, kind, body]: Frame): void {
    this.#lastUseAt = performance.now();
    const handler = this.#options.handlers.notices.get(String(kind));
    try {
      handler?.(body, this.#context);
    } catch (err) {
      log('Notice handler failed', {kind, err: String(err)});
    }
  }

  #takeOpen([, id, kind, head, sentAt]: Frame): void {
    this.#lastUseAt = performance.now();
    const {handlers} = this.#options;
    if (typeof id !== 'number' || this.#streams.has(id)) {
      this.#refuseFrame(`Stream id ${String(id)} cannot be opened`);
      return;
    }
    const stream = this.#streams.accept(id, this.#ageOf(sentAt));
    const handler = handlers.streams.get(String(kind));
    if (handlers.closing) {
      stream.reset(new MeshError(WIRE_CODES.closing, 'The peer is closing'));
    } else if (handler) {
      handler(head, stream, this.#context);
    } else {
      stream.reset(
        new MeshError(WIRE_CODES.unknownKind, `No handler for ${String(kind)}`),
      );
    }
  }

  #ageOf(sentAt: unknown): number {
    return this.#delay.excessMs(sentAt, performance.now());
  }

  #takeCredit(frame: Frame): void {
    const bytes = frame[2];
    const valid = typeof bytes === 'number' && bytes > 0;
    if (valid) this.#streams.get(frame[1])?.takeCredit(bytes);
    else this.#refuseFrame('Credit is not a positive number');
  }

  #refuseRepeated(what: string, [, id]: Frame): void {
    this.#refuseFrame(`Stream ${String(id)} has a further ${what}`);
  }

  #refuseFrame(message: string): void {
    this.close(new MeshError(WIRE_CODES.unexpectedFrame, message));
  }
}

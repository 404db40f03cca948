import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';

/** `ip:port` of a node's wire listener. @public */
export type PeerAddress = string;

/** Classes of traffic; each has its own connections. @public */
export const TRAFFIC_CLASSES = {control: 'control', call: 'call'} as const;

/** One of the values of {@link TRAFFIC_CLASSES}. @public */
export type TrafficClass =
  (typeof TRAFFIC_CLASSES)[keyof typeof TRAFFIC_CLASSES];

/** Options of a request to a peer. @public */
export interface RequestOptions {
  /** Time limit in milliseconds. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Options of a stream to a peer. @public */
export interface StreamOptions extends RequestOptions {
  /**
   * Sends nothing on an open connection before the peer has answered a ping there.
   * A killed process answers none, but its connections are closed only later.
   */
  readonly pingFirst?: boolean;
}

/** Where a message came from. @public */
export interface PeerContext {
  /** Node id that the peer proved knowledge of the node key with. */
  readonly nodeId: string;
  /** Aborts when the connection ends. */
  readonly signal: AbortSignal;
  /**
   * Sends a notice back on the connection that the message came on, which saves
   * a connection in the other direction. False if it cannot take the notice.
   */
  notify(kind: string, body: unknown): boolean;
}

/** Answers one request. An error is sent back with its code. @public */
export type RequestHandler = (
  body: unknown,
  peer: PeerContext,
) => Promise<Result<unknown, MeshError>> | Result<unknown, MeshError>;

/** Takes a one-way message. @public */
export type NoticeHandler = (body: unknown, peer: PeerContext) => void;

/** Takes a stream that a peer opened. @public */
export type StreamHandler = (
  head: unknown,
  stream: ByteStream,
  peer: PeerContext,
) => void;

/**
 * A stream in both directions, with credit-based flow control in each. Both
 * sides send one head, then chunks, then an end; either may reset.
 *
 * @public
 */
export interface ByteStream {
  /**
   * Time for which the first frame was on its way or unread, in ms, beyond the
   * least on its connection; 0 at the side that opened the stream.
   */
  readonly ageMs: number;
  /** Sends the head of the answering side; at most once. */
  sendHead(head: unknown): void;
  /** Sends bytes. False means: wait for `onDrain` before more. */
  write(chunk: Uint8Array): boolean;
  /**
   * Lets the other side send this many bytes more than its credit. The side that
   * opened the stream begins with 64 KB, the other one with the whole credit.
   */
  allow(bytes: number): void;
  /** Ends this side, with an optional trailer. */
  end(trailer?: unknown): void;
  /** Ends both sides at once; the other side gets `onReset`. */
  reset(err: MeshError): void;
  /** Stops and resumes the delivery of chunks from the other side. */
  pause(): void;
  resume(): void;
  /** Sets the callbacks; those before delivered events are not replayed. */
  listen(listener: StreamListener): void;
}

/** Callbacks of a {@link ByteStream}; each is called on the event loop. @public */
export interface StreamListener {
  onHead?(head: unknown): void;
  onChunk(chunk: Uint8Array): void;
  onEnd(trailer: unknown): void;
  /** The other side reset the stream, or the connection was lost. */
  onReset(err: MeshError): void;
  onDrain?(): void;
}

/** Bytes sent and received, by traffic class. @public */
export type ByteCounts = Readonly<
  Record<TrafficClass, {readonly sent: number; readonly received: number}>
>;

/**
 * Messages between nodes. Requests and notices use control connections, streams
 * use call connections.
 *
 * @public
 */
export interface PeerBus {
  request(
    peer: PeerAddress,
    kind: string,
    body: unknown,
    options: RequestOptions,
  ): Promise<Result<unknown, MeshError>>;
  /** Sends one way; delivery is not confirmed. */
  notify(peer: PeerAddress, kind: string, body: unknown): void;
  /**
   * Opens a stream; failures to connect arrive as `wire.unreachable`.
   *
   * @param head - Makes the first message when there is a connection, so that
   *   times in it do not leave out the wait for one.
   */
  openStream(
    peer: PeerAddress,
    kind: string,
    head: () => unknown,
    options: StreamOptions,
  ): Promise<Result<ByteStream, MeshError>>;
  /** Opens a stream at once; null if there is no open connection to the peer. */
  openStreamNow(
    peer: PeerAddress,
    kind: string,
    head: unknown,
  ): Result<ByteStream, MeshError> | null;
  onRequest(kind: string, handler: RequestHandler): void;
  onNotice(kind: string, handler: NoticeHandler): void;
  onStream(kind: string, handler: StreamHandler): void;
  bytes(): ByteCounts;
  /**
   * Control bytes sent since the start, by the kind of request or notice.
   * Responses count as `response`, completed handshakes as `handshake`, and
   * pings and their like as `link`.
   */
  sentByKind(): Readonly<Record<string, number>>;
}

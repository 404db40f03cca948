import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {LoadReport} from '@verbenabeam/routing';
import type {ByteStream, StreamListener} from '@verbenabeam/wire';
import {
  CALL_STREAM,
  decodeResponseHead,
  decodeLoad,
  decodeTrailer,
  encodeCallHead,
} from './call-head.js';
import type {ResponseHead, ResponseTrailer, CallHead} from './call-head.js';
import {headerValue} from './call-headers.js';
import {OUTCOMES} from './entry-ports.js';
import type {EntryPorts, Outcome, Target} from './entry-ports.js';
import {isUnreachable} from './code-classes.js';
import {localStreamPair} from './local-stream.js';
import type {BodySink, ReplayBody} from './replay-body.js';

/** Callbacks of an {@link Attempt}; exactly one of the last two is called. */
export interface AttemptListener {
  onHead(head: ResponseHead): void;
  onChunk(chunk: Uint8Array): void;
  /** The response ended after `bytes` bytes of body. */
  onEnd(trailer: ResponseTrailer | null, bytes: number): void;
  onFailure(err: MeshError): void;
}

/** One attempt to run a call at one instance. @internal */
export class Attempt implements StreamListener, BodySink {
  readonly target: Target;
  readonly startAt = performance.now();
  /** Time until the response head or the failure, in ms; null before. */
  latencyMs: number | null = null;
  readonly #ports: EntryPorts;
  readonly #head: CallHead;
  readonly #body: ReplayBody;
  readonly #listener: AttemptListener;
  #stream: ByteStream | null = null;
  #opening: AbortController | null = null;
  #status = 0;
  #receivedBytes = 0;
  /** Body length in the `content-length` header; infinite without one. */
  #contentLength = Infinity;
  #ended = false;

  constructor(
    ports: EntryPorts,
    target: Target,
    head: CallHead,
    body: ReplayBody,
    listener: AttemptListener,
  ) {
    this.#ports = ports;
    this.target = target;
    this.#head = head;
    this.#body = body;
    this.#listener = listener;
  }

  /**
   * Opens the stream and sends the call.
   *
   * @param pingFirst - Whether a node must answer a ping before it gets the call.
   */
  start(pingFirst = false): void {
    this.#ports.instances.began(this.target);
    if (this.target.local) this.#startLocal();
    else if (pingFirst || !this.#startConnected()) {
      void this.#startRemote(pingFirst);
    }
  }

  /** Ends the attempt on behalf of the entry node. */
  abort(err: MeshError, outcome: Outcome): void {
    if (this.#ended) return;
    this.#finish(outcome, null);
    // While the connection to the peer is being opened, there is no stream to
    // reset. The abort keeps the call from being sent once it is open.
    this.#opening?.abort();
    this.#stream?.reset(err);
  }

  pause(): void {
    this.#stream?.pause();
  }

  resume(): void {
    if (!this.#ended) this.#stream?.resume();
  }

  write(chunk: Uint8Array): boolean {
    return this.#stream?.write(chunk) ?? false;
  }

  end(): void {
    this.#stream?.end();
  }

  onHead(value: unknown): void {
    if (this.#ended) return;
    const head = decodeResponseHead(value);
    if (!head) {
      this.#fail(lost('Response head is malformed'));
      return;
    }
    this.#status = head.status;
    const length = headerValue(head.headers, 'content-length');
    if (length !== null) this.#contentLength = Number(length);
    this.latencyMs = performance.now() - this.startAt;
    this.#listener.onHead(head);
  }

  onChunk(chunk: Uint8Array): void {
    if (this.#ended) return;
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#contentLength) {
      const err = lost('Response body exceeds its content-length');
      this.#stream?.reset(err);
      this.#fail(err);
      return;
    }
    this.#listener.onChunk(chunk);
  }

  onEnd(value: unknown): void {
    if (this.#ended) return;
    const trailer = decodeTrailer(value);
    const outcome =
      this.#status < minServerErrorStatus ? OUTCOMES.ok : OUTCOMES.failed;
    this.#finish(outcome, trailer?.load ?? null);
    this.#listener.onEnd(trailer, this.#receivedBytes);
  }

  onReset(err: MeshError): void {
    this.#fail(err);
  }

  onDrain(): void {
    this.#body.resume();
  }

  #startLocal(): void {
    const [own, serving] = localStreamPair();
    this.#ports.serving.serve(this.#head, serving);
    this.#begin(own);
  }

  /** Sends the call if there is an open connection; returns whether there is. */
  #startConnected(): boolean {
    const head = encodeCallHead(this.#head);
    const {address} = this.target;
    const opened = this.#ports.bus.openStreamNow(address, CALL_STREAM, head);
    if (!opened) return false;
    if (opened.isErr) this.#fail(opened.error);
    else this.#begin(opened.value);
    return true;
  }

  async #startRemote(pingFirst: boolean): Promise<void> {
    const {address} = this.target;
    const opening = new AbortController();
    this.#opening = opening;
    const opened = await this.#ports.bus.openStream(
      address,
      CALL_STREAM,
      () => encodeCallHead(this.#headNow()),
      {timeoutMs: this.#head.remainingMs, signal: opening.signal, pingFirst},
    );
    this.#opening = null;
    if (opened.isErr) this.#fail(opened.error);
    else if (this.#ended) opened.value.reset(lost('Call has ended'));
    else this.#begin(opened.value);
  }

  /** The call head with the remaining times as of now. */
  #headNow(): CallHead {
    const waitedMs = performance.now() - this.startAt;
    const {remainingMs, targetMs} = this.#head;
    return {
      ...this.#head,
      remainingMs: Math.max(0, remainingMs - waitedMs),
      targetMs: targetMs - waitedMs,
    };
  }

  #begin(stream: ByteStream): void {
    this.#stream = stream;
    this.#body.attach(this);
    stream.listen(this);
  }

  #fail(err: MeshError): void {
    if (this.#ended) return;
    this.#finish(outcomeOf(err), decodeLoad(err.details['load']));
    this.#listener.onFailure(err);
  }

  #finish(outcome: Outcome, load: LoadReport | null): void {
    this.#ended = true;
    this.#body.detach();
    this.latencyMs ??= performance.now() - this.startAt;
    this.#ports.instances.ended({
      target: this.target,
      service: this.#head.service,
      version: this.#head.version,
      route: this.#head.routeName,
      outcome,
      latencyMs: this.latencyMs,
      load,
    });
  }
}

/** Responses from this HTTP status on count as failures of the upstream. @internal */
export const minServerErrorStatus = 500;

/** Outcome of an attempt that failed with `err`. @internal */
export function outcomeOf({code}: MeshError): Outcome {
  if (isUnreachable(code)) return OUTCOMES.unreachable;
  if (code === CALL_CODES.upstreamShed) return OUTCOMES.shed;
  return code.notRun ? OUTCOMES.refused : OUTCOMES.lost;
}

function lost(message: string): MeshError {
  return new MeshError(CALL_CODES.outcomeUnknown, message);
}

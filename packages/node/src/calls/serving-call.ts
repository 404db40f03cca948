import {CALL_CODES, INVARIANT_CODES, MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import {UPSTREAM_STATES} from '@verbenabeam/membership';
import type {ByteStream, StreamListener} from '@verbenabeam/wire';
import {encodeResponseHead, encodeLoad, encodeTrailer} from './call-head.js';
import type {CallHead} from './call-head.js';
import {WAIT_PLACES} from './call-waits.js';
import type {WaitPlace} from './call-waits.js';
import {ServingBody} from './serving-body.js';
import {
  errorFor,
  fingerprintOfCall,
  refusalCodeFor,
  admissionRequestOf,
  trailerOf,
} from './serving-admission.js';
import {logCancelledCall, logFailedCall} from './serving-log.js';
import type {ServingTimes} from './serving-log.js';
import type {ServingContext} from './serving-context.js';
import type {AdmissionRequest, OwnUpstream, Ticket} from './serving-ports.js';
import {isInvalidRequest, UpstreamRequest} from './upstream-request.js';
import type {UpstreamListener} from './upstream-request.js';

/** One call on the serving node. @internal */
export class ServingCall implements StreamListener, UpstreamListener {
  readonly #head: CallHead;
  readonly #stream: ByteStream;
  readonly #context: ServingContext;
  readonly #times: ServingTimes;
  readonly #body: ServingBody;
  readonly #input: AdmissionRequest;
  #ticket: Ticket | null = null;
  #cancelQueue: (() => void) | null = null;
  #request: UpstreamRequest | null = null;
  #upstream: OwnUpstream | null = null;
  #scheduledAt = 0;
  #queuedAt = 0;
  #dispatchAt = 0;
  #headMs: number | null = null;
  #responseBytes = 0;
  #ended = false;

  constructor(head: CallHead, stream: ByteStream, context: ServingContext) {
    this.#head = head;
    this.#stream = stream;
    this.#context = context;
    const {maxReplayBytes: replayBytes} = context.ports.protocol;
    this.#body = new ServingBody(head.bodyBytes, stream, replayBytes);
    // A stall of this node shows in both values, so they are not added.
    const waitedMs = Math.max(context.scheduler.chargedStallMs, stream.ageMs);
    const startAt = performance.now() - waitedMs;
    this.#times = {startAt, deadlineAt: startAt + head.remainingMs};
    this.#input = admissionRequestOf(head, this.#times);
  }

  /**
   * Starts the call. A call with a buffered body requests admission once the body is
   * complete; a call that would be refused now is refused before the rest is sent.
   */
  start(): void {
    this.#recordWait(WAIT_PLACES.wire, this.#stream.ageMs);
    this.#stream.listen(this);
    if (!this.#body.isBuffered) {
      this.#scheduleAdmission();
      return;
    }
    const {admission} = this.#context.ports;
    const code = this.#refusalCode();
    const refusal = code ? errorFor(code) : admission.announce(this.#input);
    if (refusal) this.#reset(refusal, false);
    else this.#stream.allow(this.#body.creditBytes);
  }

  onChunk(chunk: Uint8Array): void {
    if (this.#ended || this.#body.accept(chunk)) return;
    this.#refuse(CALL_CODES.bodyGrewTooLarge);
  }

  onEnd(): void {
    if (this.#ended) return;
    this.#body.finish();
    if (this.#body.isBuffered) this.#scheduleAdmission();
  }

  /** The entry node reset the stream. */
  onReset(): void {
    if (this.#ended) return;
    logCancelledCall(this.#head, this.#times, this.#request?.sent ?? false);
    this.#cancelQueue?.();
    this.#request?.abort();
    this.#end(null);
  }

  onDrain(): void {
    this.#request?.resume();
  }

  /** Checks the deadline again: the wait for a connection may be long. */
  onUpstreamConnected(): boolean {
    const now = performance.now();
    this.#recordWait(WAIT_PLACES.connection, now - this.#dispatchAt);
    if (now < this.#times.deadlineAt) return true;
    this.#refuse(CALL_CODES.deadlineTooClose);
    return false;
  }

  onUpstreamHead(status: number, headers: string[]): void {
    this.#headMs = performance.now() - this.#dispatchAt;
    this.#ticket?.onResponseHead(this.#headMs);
    // Takes all retries, so that sub-calls that start later have none left.
    const retriesLeft = this.#context.ports.ledger.takeAll(
      this.#head.callId,
      0,
    );
    this.#stream.sendHead(encodeResponseHead({status, headers, retriesLeft}));
  }

  onUpstreamData(chunk: Uint8Array): boolean {
    this.#responseBytes += chunk.length;
    return this.#stream.write(chunk);
  }

  onUpstreamEnd(): void {
    if (this.#ended) return;
    const {admission} = this.#context.ports;
    this.#end(performance.now() - this.#dispatchAt);
    this.#stream.end(
      encodeTrailer(trailerOf(this.#head, this.#responseBytes, admission)),
    );
  }

  /** The upstream reported that it did not run the request. */
  onUpstreamNotRun(otherUpstream: boolean): void {
    if (this.#ended) return;
    if (otherUpstream) {
      this.#context.ports.upstream.markDown('Another upstream has its address');
    }
    this.#refuse(CALL_CODES.upstreamShed, true);
  }

  onUpstreamError(err: Error, sent: boolean): void {
    if (this.#ended) return;
    const {ports, crashDetector} = this.#context;
    if (!sent && isInvalidRequest(err)) {
      this.#refuse(CALL_CODES.badRequest);
      return;
    }
    if (!sent) {
      ports.upstream.markDown(err.message);
      this.#refuse(CALL_CODES.upstreamDown);
      return;
    }
    const lost = new MeshError(CALL_CODES.outcomeUnknown, err.message);
    if (!this.#upstream) {
      this.#reset(lost, true);
      return;
    }
    const {callId} = this.#head;
    const lostRequest = {
      callId,
      fingerprint: fingerprintOfCall(this.#head, this.#body),
    };
    // Only a request that may have crashed the upstream must not be retried.
    void crashDetector.onLost(lostRequest, this.#upstream).then(died => {
      if (!this.#ended) this.#reset(lost, died);
    });
  }

  /**
   * Requests admission after all data that has arrived was read. After a busy period
   * or a pause, the cancellation of a call may follow directly after its head.
   */
  #scheduleAdmission(): void {
    this.#scheduledAt = performance.now();
    setImmediate(() => {
      this.#context.scheduler.run({
        fromNode: true,
        isOver: () => this.#ended,
        start: () => {
          const waitedMs = performance.now() - this.#scheduledAt;
          this.#recordWait(WAIT_PLACES.serving, waitedMs);
          this.#requestAdmission();
        },
        drop: () => undefined,
      });
    });
  }

  #requestAdmission(): void {
    const refusal = this.#refusalCode();
    if (refusal) {
      this.#refuse(refusal);
      return;
    }
    const {callId} = this.#head;
    const {quarantine, admission} = this.#context.ports;
    const blocked = quarantine.active
      ? quarantine.admit(callId, fingerprintOfCall(this.#head, this.#body))
      : null;
    if (blocked) {
      this.#refuse(blocked.code);
      return;
    }
    this.#queuedAt = performance.now();
    const decision = admission.enter(this.#input);
    if (decision.kind === 'admitted') this.#dispatch(decision.ticket);
    else if (decision.kind === 'refused') this.#reset(decision.err, false);
    else {
      this.#cancelQueue = decision.cancel;
      void decision.decided.then(result => {
        this.#cancelQueue = null;
        if (result.isOk) this.#dispatchQueued(result.value);
        else if (!this.#ended) this.#reset(result.error, false);
      });
    }
  }

  /** Returns why the call is refused now; checked again after the queue. */
  #refusalCode(): ResultCode | null {
    if (this.#context.isDraining()) return CALL_CODES.draining;
    const upstream = this.#context.ports.upstream.current();
    return refusalCodeFor(upstream, this.#head, this.#times);
  }

  /** Dispatches a queued call, unless the move to its version was stopped. */
  #dispatchQueued(ticket: Ticket): void {
    const {service, version} = this.#head;
    const {stopped} = this.#context.ports;
    if (this.#ended || !stopped.isStopped(service, version)) {
      this.#dispatch(ticket);
      return;
    }
    this.#ticket = ticket;
    this.#refuse(CALL_CODES.versionStopped);
  }

  #dispatch(ticket: Ticket): void {
    if (this.#ended) {
      ticket.release(null);
      return;
    }
    this.#ticket = ticket;
    const refusal = this.#refusalCode();
    if (refusal) {
      this.#refuse(refusal);
      return;
    }
    const {ports, pool, running} = this.#context;
    const upstream = ports.upstream.current();
    const ready = upstream?.state === UPSTREAM_STATES.ready;
    ports.invariants.check(INVARIANT_CODES.workAfterLeave, ready, {
      callId: this.#head.callId,
      state: upstream?.state,
    });
    if (!upstream) return;
    this.#upstream = upstream;
    running.add(this.#head.callId);
    ports.ledger.open(this.#head.callId, this.#head.retriesLeft);
    this.#dispatchAt = performance.now();
    this.#recordWait(WAIT_PLACES.queue, this.#dispatchAt - this.#queuedAt);
    const remainingMs = this.#times.deadlineAt - this.#dispatchAt;
    this.#request = new UpstreamRequest(
      this.#head,
      ports.protocol,
      this,
      pool.sockets,
    );
    const upstreamPool = pool.get(upstream.address);
    const content = this.#body.take();
    this.#request.dispatch(upstreamPool, upstream, content, remainingMs);
  }

  #refuse(code: ResultCode, reportedByUpstream = false): void {
    const {ports} = this.#context;
    const sent = this.#request?.sent ?? false;
    ports.invariants.check(
      INVARIANT_CODES.falseNotRun,
      !code.notRun || !sent || reportedByUpstream,
      {callId: this.#head.callId, code: code.code},
    );
    this.#reset(errorFor(code), false);
  }

  /** Resets the stream with the error, the current load and the retries left. */
  #reset(err: MeshError, suspect: boolean): void {
    const {code, message} = err;
    const {admission, ledger} = this.#context.ports;
    const {callId} = this.#head;
    const left = this.#upstream ? {retriesLeft: ledger.close(callId)} : {};
    this.#end(null);
    const report = admission.load();
    logFailedCall(this.#head, this.#times, err, report);
    const load = encodeLoad(report);
    const details = {
      ...err.details,
      load,
      ...left,
      ...(suspect ? {suspect} : {}),
    };
    this.#stream.reset(new MeshError(code, message, details));
  }

  #recordWait(place: WaitPlace, waitedMs: number): void {
    this.#context.ports.waits?.record(place, this.#head.callId, waitedMs);
  }

  /** Releases the slot, for a complete response with the time to its head. */
  #end(serviceMs: number | null): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#ticket?.release(serviceMs === null ? null : this.#headMs);
    this.#context.ports.admission.withdraw(this.#head.callId);
    this.#body.destroy();
    const {running, ports} = this.#context;
    const {quarantine, ledger} = ports;
    running.delete(this.#head.callId);
    ledger.close(this.#head.callId);
    quarantine.ended(this.#head.callId, serviceMs !== null);
    this.#context.onEnd();
  }
}

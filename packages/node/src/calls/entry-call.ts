import {
  CALL_CODES,
  CLAIM_CODES,
  INVARIANT_CODES,
  MeshError,
} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {Service} from '@verbenabeam/document';
import {FIRST_STREAM_BYTES} from '@verbenabeam/wire';
import {minServerErrorStatus, outcomeOf} from './attempt.js';
import type {Attempt, AttemptListener} from './attempt.js';
import {AttemptFactory} from './attempt-factory.js';
import {AttemptLog} from './attempt-log.js';
import {CallClaim} from './call-claim.js';
import type {ResponseHead, ResponseTrailer} from './call-head.js';
import {callTimeoutMs} from './call-timeout.js';
import type {CallRecord} from './call-record.js';
import {chooseService, maxRetriesOf} from './choose-service.js';
import {buildCallRecord} from './build-call-record.js';
import type {RouteCallers} from './route-callers.js';
import type {RoutedCall} from './routed-call.js';
import {CallerResponse} from './caller-response.js';
import {CallRetries} from './call-retries.js';
import {OUTCOMES} from './entry-ports.js';
import type {EntryPorts, Outcome} from './entry-ports.js';
import {ReplayBody} from './replay-body.js';
import {withJitteredDelay} from './retry-jitter.js';
import type {SharedByCalls} from './shared-by-calls.js';

/** Called when a call ends, with its record and the refusal if it was refused. */
export type OnCallEnd = (record: CallRecord, refusal: MeshError | null) => void;

/** One call at the entry node, from the matched route to its end. @internal */
export class EntryCall implements AttemptListener {
  readonly #call: RoutedCall;
  readonly #ports: EntryPorts;
  readonly #onEnd: OnCallEnd;
  readonly #body: ReplayBody;
  readonly #response: CallerResponse;
  readonly #deadlineAt: number;
  readonly #timer: NodeJS.Timeout;
  readonly #unwatch: () => void;
  readonly #retries: CallRetries;
  readonly #attempts: AttemptFactory;
  readonly #log: AttemptLog;
  readonly #service: Service;
  readonly #routeCallers: RouteCallers;
  #attempt: Attempt | null = null;
  #claim: CallClaim | null = null;
  #headMs: number | null = null;
  #ended = false;

  constructor(
    call: RoutedCall,
    ports: EntryPorts,
    {connections, readAhead, heldResponses, routeCallers}: SharedByCalls,
    onEnd: OnCallEnd,
  ) {
    const {headers, req, res, route, snapshot, callId, startAt} = call;
    this.#call = call;
    this.#ports = ports;
    this.#onEnd = onEnd;
    this.#routeCallers = routeCallers;
    this.#log = new AttemptLog(callId, startAt);
    const service = chooseService(route, ports.random);
    this.#service = service;
    const {protocol} = ports;
    this.#deadlineAt =
      startAt + callTimeoutMs(headers, route, protocol.deadlineMarginMs);
    this.#retries = new CallRetries(ports, {
      service: service.name,
      isSubCall: routeCallers.isSubCall(route),
      idempotent: route.idempotent,
      deadlineAt: this.#deadlineAt,
      parentCallId: headers.parentCallId,
      retriesLeft: Math.min(headers.retriesLeft, maxRetriesOf(route)),
      propagates: ports.protocol.propagatesRetries,
    });
    this.#timer = setTimeout(() => this.#expire(), this.#remainingMs());
    this.#body = new ReplayBody(req, headers.bodyBytes !== 0, {
      maxKeptBytes: protocol.maxReplayBytes,
      maxBytes: snapshot.document.callerLimits?.maxBodyBytes ?? Infinity,
      readAhead,
      onTooLarge: () => this.#rejectBody(),
    });
    this.#attempts = new AttemptFactory(call, service, ports, this.#body);
    const keepCopy = !route.idempotent && headers.idempotencyKey !== null;
    this.#response = new CallerResponse(res, {
      protocol,
      metadata: {callId, configVersion: snapshot.version},
      keepCopy,
      memory: heldResponses,
      onNoMemory: () => this.#giveUpResponse(),
    });
    this.#unwatch = connections.onceClosed(req.socket, () => this.#cancel());
    res.on('drain', () => this.#attempt?.resume());
  }

  /** Claims the idempotency key if the route needs it, then starts the first attempt. */
  start(): void {
    const {route, headers} = this.#call;
    const {idempotencyKey} = headers;
    if (!route.idempotent && idempotencyKey !== null) {
      void this.#startClaimed(idempotencyKey);
    } else if (!route.idempotent && route.idempotencyKey === 'required') {
      this.#refuse(CLAIM_CODES.keyRequired);
    } else {
      this.#startFirstAttempt();
    }
  }

  onHead(head: ResponseHead): void {
    this.#headMs = performance.now() - this.#call.startAt;
    this.#retries.onResponse(head.retriesLeft);
    this.#response.sendHead(head, CALL_CODES.ok.code, this.#retries.remaining);
  }

  onChunk(chunk: Uint8Array): void {
    if (!this.#response.write(chunk)) this.#attempt?.pause();
  }

  onEnd(trailer: ResponseTrailer | null, bytes: number): void {
    const {callId} = this.#call;
    const matches = trailer?.callId === callId && trailer.bodyBytes === bytes;
    this.#ports.invariants.check(INVARIANT_CODES.crossedResponse, matches, {
      callId,
      bytes,
      trailer,
    });
    if (!matches) {
      const text = 'Response trailer does not match the call';
      this.onFailure(new MeshError(CALL_CODES.outcomeUnknown, text));
      return;
    }
    this.#routeCallers.record(this.#call.route, trailer.isSubCall);
    const isFailure = this.#response.status >= minServerErrorStatus;
    this.#record(isFailure ? OUTCOMES.failed : OUTCOMES.ok, CALL_CODES.ok);
    if (isFailure && this.#retryServerError()) return;
    this.#response.end();
    this.#finish(CALL_CODES.ok);
  }

  onFailure(err: MeshError): void {
    this.#record(outcomeOf(err), err.code);
    this.#attempt = null;
    if (!err.code.notRun) this.#log.recordMayHaveRun(err);
    if (this.#resetIfStarted(err.code)) return;
    if (this.#body.replayable && this.#retries.takeRetry(err)) {
      this.#response.discardBuffered();
      this.#try(err);
    } else {
      this.#refuseWith(this.#log.toCallError(err));
    }
  }

  /**
   * Retries an idempotent call that the upstream answered with a server error, if
   * no part of that response was sent to the caller. Returns whether it did.
   */
  #retryServerError(): boolean {
    const {idempotent} = this.#call.route;
    if (this.#response.started || !idempotent) return false;
    if (!this.#body.replayable) return false;
    const err = new MeshError(
      CALL_CODES.outcomeUnknown,
      `Upstream responded with status ${this.#response.status}`,
    );
    if (!this.#retries.takeRetry(err)) return false;
    this.#attempt = null;
    this.#log.recordMayHaveRun(err);
    this.#response.discardBuffered();
    this.#try(err);
    return true;
  }

  async #startClaimed(key: string): Promise<void> {
    const claim = new CallClaim(this.#ports.claims, this.#call, key);
    this.#claim = claim;
    const action = await claim.begin(this.#remainingMs());
    if (this.#ended) {
      this.#claim?.finish(this.#log, this.#response);
    } else if (action.kind === 'granted') {
      this.#startFirstAttempt();
    } else if (action.kind === 'replay') {
      const {remaining} = this.#retries;
      this.#response.replay(action.answer, CALL_CODES.ok.code, remaining);
      this.#finish(CALL_CODES.ok);
    } else {
      this.#refuseWith(action.err);
    }
  }

  /**
   * Starts the first attempt. A small body is read before it, so that call head
   * and body are sent in one write. With a larger body, or one of unknown length,
   * the attempt starts at once, so that the instance admits or refuses the call
   * before it gets the body.
   */
  #startFirstAttempt(): void {
    const {bodyBytes} = this.#call.headers;
    if (bodyBytes === null || bodyBytes > FIRST_STREAM_BYTES) this.#try();
    else this.#body.onceComplete(() => this.#try());
  }

  /** Starts an attempt. If no instance is left, the call fails with `err`. */
  #try(err?: MeshError): void {
    if (this.#ended) return;
    const propagate = () => this.#retries.propagate();
    const attempts = this.#attempts;
    this.#attempt = attempts.next(this.#remainingMs(), propagate, this);
    if (this.#attempt) this.#attempt.start(this.#log.lostConnection);
    else this.#refuseWith(this.#log.toCallError(err ?? attempts.noInstance()));
  }

  #remainingMs(): number {
    return Math.max(0, this.#deadlineAt - performance.now());
  }

  #expire(): void {
    // While the response is buffered, a retry may still replace it.
    if (this.#ended || this.#response.started) return;
    const wasNotSent = !this.#attempt && !this.#log.mayHaveRun;
    const code = wasNotSent
      ? CALL_CODES.deadlineTooClose
      : CALL_CODES.deadlineExceeded;
    this.#abort(code, OUTCOMES.timeout);
    this.#refuse(code);
  }

  /** Ends a call whose body of unknown length exceeds the limit. */
  #rejectBody(): void {
    if (this.#ended) return;
    const code = CALL_CODES.bodyGrewTooLarge;
    this.#abort(code, OUTCOMES.cancelled);
    if (this.#resetIfStarted(code)) return;
    // The rest of the body is not read, so the connection cannot be reused.
    this.#call.res.shouldKeepAlive = false;
    this.#refuse(code);
  }

  /** Ends a call whose response cannot be held; a retry would need the memory again. */
  #giveUpResponse(): void {
    if (this.#ended) return;
    this.#abort(CALL_CODES.responseTooLong, OUTCOMES.failed);
    this.#refuse(CALL_CODES.responseTooLong);
  }

  /** Ends the call when the node stops before it has an answer. */
  cut(): void {
    if (this.#ended) return;
    const err = this.#log.cutError(this.#attempt !== null);
    this.#abort(err.code, OUTCOMES.cancelled);
    if (!this.#resetIfStarted(err.code)) this.#refuseWith(err);
  }

  /** Resets the connection if the response has begun; returns whether it has. */
  #resetIfStarted(code: ResultCode): boolean {
    if (!this.#response.started) return false;
    this.#response.resetConnection();
    this.#finish(code);
    return true;
  }

  #cancel(): void {
    if (this.#ended) return;
    this.#abort(CALL_CODES.cancelled, OUTCOMES.cancelled);
    this.#response.release();
    this.#finish(CALL_CODES.cancelled);
  }

  #abort(code: ResultCode, outcome: Outcome): void {
    if (!this.#attempt) return;
    const err = new MeshError(code, code.text);
    this.#log.recordMayHaveRun(err);
    this.#attempt.abort(err, outcome);
    this.#record(outcome, code);
    this.#attempt = null;
  }

  #refuse(code: ResultCode): void {
    this.#refuseWith(new MeshError(code, code.text));
  }

  #refuseWith(err: MeshError): void {
    const mayHaveRun = this.#log.mayHaveRun || this.#attempt !== null;
    this.#ports.invariants.check(
      INVARIANT_CODES.falseNotRun,
      !err.code.notRun || !mayHaveRun,
      {callId: this.#call.callId, code: err.code.code},
    );
    const refusal = withJitteredDelay(err, this.#ports.random);
    this.#response.refuse(refusal, this.#retries.remaining);
    this.#finish(err.code, err);
  }

  #record(outcome: Outcome, code: ResultCode): void {
    const attempt = this.#attempt;
    if (!attempt) return;
    this.#log.add(attempt, this.#attempts.choice?.version ?? '', outcome, code);
  }

  #finish(code: ResultCode, refusal: MeshError | null = null): void {
    if (this.#ended) return;
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#unwatch();
    this.#body.discard();
    this.#claim?.finish(this.#log, this.#response);
    this.#retries.end();
    this.#onEnd(
      buildCallRecord(this.#call, {
        service: this.#service.name,
        choice: this.#attempts.choice,
        attempts: this.#log.records,
        headMs: this.#headMs,
        status: code === CALL_CODES.cancelled ? 0 : this.#response.status,
        responseBytes: this.#response.bytes,
        code,
      }),
      refusal,
    );
  }
}

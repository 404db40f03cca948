import {
  CALL_CODES,
  CLAIM_CODES,
  INVARIANT_CODES,
  MeshError,
} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import {Attempt, failedFrom, outcomeOf} from './attempt.js';
import type {AttemptListener} from './attempt.js';
import type {AnswerHead, AnswerTrailer, CallHead} from './call-head.js';
import {passedHeaders} from './call-headers.js';
import type {AttemptRecord, CallRecord} from './call-record.js';
import {recordOf} from './entry-record.js';
import type {RoutedCall} from './routed-call.js';
import {CallerResponse} from './caller-response.js';
import {CallRetries} from './call-retries.js';
import {beginClaim} from './claim-step.js';
import {OUTCOMES} from './entry-ports.js';
import type {
  ClaimKey,
  EntryPorts,
  Outcome,
  VersionChoice,
} from './entry-ports.js';
import {REPLAY_LIMIT_BYTES, ReplayBody} from './replay-body.js';

/** One call on the entry side, from its route to its end. @internal */
export class EntryCall implements AttemptListener {
  readonly #call: RoutedCall;
  readonly #ports: EntryPorts;
  readonly #done: (record: CallRecord) => void;
  readonly #body: ReplayBody;
  readonly #response: CallerResponse;
  readonly #deadlineAt: number;
  readonly #timer: NodeJS.Timeout;
  /** Version of the last attempt; null before the first. */
  #choice: VersionChoice | null = null;
  readonly #passed: string[];
  readonly #retries: CallRetries;
  readonly #tried = new Set<string>();
  readonly #records: AttemptRecord[] = [];
  #attempt: Attempt | null = null;
  #claim: ClaimKey | null = null;
  /** Whether an attempt that ended may have run the request. */
  #mayHaveRun = false;
  #headMs: number | null = null;
  #over = false;

  constructor(
    call: RoutedCall,
    ports: EntryPorts,
    done: (record: CallRecord) => void,
  ) {
    const {headers, req, res, route, snapshot, callId, startAt} = call;
    this.#call = call;
    this.#ports = ports;
    this.#done = done;
    this.#passed = passedHeaders(req.rawHeaders);
    const limitMs = Math.min(headers.deadlineMs, route.timeoutMs);
    this.#deadlineAt = startAt + limitMs;
    this.#retries = new CallRetries(ports, {
      service: route.service.name,
      idempotent: route.idempotent,
      deadlineAt: this.#deadlineAt,
      parentCallId: headers.parentCallId,
      retriesLeft: headers.retriesLeft,
    });
    this.#timer = setTimeout(() => {
      this.#expire();
    }, limitMs);
    this.#body = new ReplayBody(req, headers.bodyBytes !== 0);
    const mark = {callId, configVersion: snapshot.version};
    const keep = !route.idempotent && headers.idempotencyKey !== null;
    this.#response = new CallerResponse(res, mark, keep);
    res.on('close', () => {
      if (!res.writableFinished) this.#cancel();
    });
    res.on('drain', () => this.#attempt?.resume());
  }

  /** Claims the key if the route needs it, then makes the first attempt. */
  start(): void {
    const {route, headers} = this.#call;
    const {idempotencyKey} = headers;
    if (!route.idempotent && idempotencyKey !== null) {
      void this.#startClaimed(idempotencyKey);
    } else if (!route.idempotent && route.idempotencyKey === 'required') {
      this.#refuse(CLAIM_CODES.keyRequired);
    } else {
      this.#begin();
    }
  }

  onHead(head: AnswerHead): void {
    clearTimeout(this.#timer);
    this.#headMs = performance.now() - this.#call.startAt;
    this.#retries.answered(head.retriesLeft);
    this.#response.head(head, CALL_CODES.ok.code, this.#retries.toReport);
  }

  onChunk(chunk: Uint8Array): void {
    if (!this.#response.write(chunk)) this.#attempt?.pause();
  }

  onEnd(trailer: AnswerTrailer | null, bytes: number): void {
    const {callId} = this.#call;
    const whole = trailer?.callId === callId && trailer.bodyBytes === bytes;
    this.#ports.invariants.check(INVARIANT_CODES.crossedResponse, whole, {
      callId,
      bytes,
      trailer,
    });
    if (!whole) {
      this.onFailure(new MeshError(CALL_CODES.outcomeUnknown, 'Bad trailer'));
      return;
    }
    const fails = this.#response.status >= failedFrom;
    this.#record(fails ? OUTCOMES.failed : OUTCOMES.ok, CALL_CODES.ok);
    this.#response.end();
    this.#finish(CALL_CODES.ok);
  }

  onFailure(err: MeshError): void {
    this.#record(outcomeOf(err), err.code);
    this.#attempt = null;
    this.#mayHaveRun ||= !err.code.notRun;
    if (this.#response.started) {
      this.#response.cut();
      this.#finish(err.code);
    } else if (this.#body.replayable && this.#retries.tryAgain(err)) {
      this.#try(err);
    } else {
      this.#refuseWith(this.#asCallError(err, this.#call.callId));
    }
  }

  async #startClaimed(key: string): Promise<void> {
    const {snapshot, route, headers, callId} = this.#call;
    const claim: ClaimKey = {
      environment: snapshot.environment,
      service: route.service.name,
      callerClass: headers.callerClass,
      key,
      callId,
    };
    const step = await beginClaim(
      this.#ports.claims,
      claim,
      this.#remainingMs(),
    );
    if (step.kind === 'granted') this.#claim = claim;
    if (this.#over) {
      this.#finishClaim();
    } else if (step.kind === 'granted') {
      this.#begin();
    } else if (step.kind === 'replay') {
      const {toReport} = this.#retries;
      this.#response.replay(step.answer, CALL_CODES.ok.code, toReport);
      this.#finish(CALL_CODES.ok);
    } else {
      this.#refuseWith(step.err);
    }
  }

  /** A small body is read first: it then leaves with the head in one write. */
  #begin(): void {
    const {bodyBytes} = this.#call.headers;
    if (bodyBytes === null || bodyBytes > REPLAY_LIMIT_BYTES) this.#try();
    else this.#body.whenWhole(() => this.#try());
  }

  /** Makes an attempt; without an instance the last refusal is the answer. */
  #try(last?: MeshError): void {
    if (this.#over) return;
    const {snapshot, route, callId} = this.#call;
    const {versions} = this.#ports;
    const {name} = route.service;
    // Asked for each attempt, because a move may have been stopped while the
    // call waited for its claim, its body or an instance.
    this.#choice = versions.choose(
      snapshot,
      route.service,
      callId,
      this.#tried,
    );
    const {version} = this.#choice;
    const target = this.#ports.instances.pick(name, version, this.#tried);
    if (!target) {
      const none = new MeshError(
        CALL_CODES.noInstance,
        `No instance of ${name} ${version} can take the call`,
      );
      this.#refuseWith(this.#asCallError(last ?? none, callId));
      return;
    }
    this.#tried.add(target.nodeId);
    const head = this.#callHead(version);
    versions.onSent(name, version);
    this.#attempt = new Attempt(this.#ports, target, head, this.#body, this);
    this.#attempt.start();
  }

  #callHead(version: string): CallHead {
    const {callId, req, route, headers} = this.#call;
    return {
      callId,
      service: route.service.name,
      version,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      remainingMs: this.#remainingMs(),
      depth: headers.depth + 1,
      retriesLeft: this.#retries.pass(),
      bodyBytes: headers.bodyBytes,
      headers: this.#passed,
    };
  }

  #remainingMs(): number {
    return Math.max(0, this.#deadlineAt - performance.now());
  }

  /** The caller learns the worst of all attempts, not that of the last. */
  #asCallError(err: MeshError, callId: string): MeshError {
    const code = this.#mayHaveRun ? CALL_CODES.outcomeUnknown : err.code;
    if (code === err.code) return err;
    return new MeshError(code, err.message, {callId, cause: err.code.name});
  }

  #expire(): void {
    if (this.#over) return;
    const notSent = !this.#attempt && !this.#mayHaveRun;
    const code = notSent
      ? CALL_CODES.deadlineTooClose
      : CALL_CODES.deadlineExceeded;
    this.#abort(code, OUTCOMES.timeout);
    this.#refuse(code);
  }

  #cancel(): void {
    if (this.#over) return;
    this.#abort(CALL_CODES.cancelled, OUTCOMES.cancelled);
    this.#finish(CALL_CODES.cancelled);
  }

  #abort(code: ResultCode, outcome: Outcome): void {
    if (!this.#attempt) return;
    this.#mayHaveRun = true;
    this.#attempt.abort(new MeshError(code, code.text), outcome);
    this.#record(outcome, code);
    this.#attempt = null;
  }

  #refuse(code: ResultCode): void {
    this.#refuseWith(new MeshError(code, code.text));
  }

  #refuseWith(err: MeshError): void {
    const wasOpen = this.#mayHaveRun || this.#attempt !== null;
    this.#ports.invariants.check(
      INVARIANT_CODES.falseNotRun,
      !err.code.notRun || !wasOpen,
      {callId: this.#call.callId, code: err.code.code},
    );
    this.#response.refuse(err, this.#retries.toReport);
    this.#finish(err.code);
  }

  #record(outcome: Outcome, {code}: ResultCode): void {
    const attempt = this.#attempt;
    if (!attempt) return;
    this.#records.push({
      nodeId: attempt.target.nodeId,
      version: this.#choice?.version ?? '',
      outcome,
      code,
      atMs: attempt.startAt - this.#call.startAt,
      latencyMs: attempt.latencyMs ?? 0,
    });
  }

  #finishClaim(): void {
    if (!this.#claim) return;
    const {claims} = this.#ports;
    const answered = this.#records.at(-1)?.code === CALL_CODES.ok.code;
    if (answered) {
      const answer = this.#response.stored();
      claims.finish(this.#claim, {kind: 'answered', answer});
    } else {
      const kind = this.#mayHaveRun ? 'unknown' : 'notRun';
      claims.finish(this.#claim, {kind});
    }
    this.#claim = null;
  }

  #finish(code: ResultCode): void {
    if (this.#over) return;
    this.#over = true;
    clearTimeout(this.#timer);
    this.#body.discard();
    this.#finishClaim();
    this.#retries.end();
    this.#done(
      recordOf(this.#call, {
        choice: this.#choice,
        attempts: this.#records,
        headMs: this.#headMs,
        status: code === CALL_CODES.cancelled ? 0 : this.#response.status,
        responseBytes: this.#response.bytes,
        code,
      }),
    );
  }
}

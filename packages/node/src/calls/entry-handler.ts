import type {IncomingMessage, ServerResponse} from 'node:http';
import {CALL_CODES, INVARIANT_CODES, MeshError} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {Route, Snapshot} from '@verbenabeam/document';
import {
  RetryingCallers,
  THROTTLE_OUTCOMES,
  throttleGroup,
} from '@verbenabeam/routing';
import type {
  CallerAttempt,
  ThrottleOutcome,
  ThrottleRejection,
} from '@verbenabeam/routing';
import {minServerErrorStatus} from './attempt.js';
import type {CallerHeaders} from './call-headers.js';
import {callTimeoutMs} from './call-timeout.js';
import type {CallRecord} from './call-record.js';
import {WAIT_PLACES} from './call-waits.js';
import {CallerConnections} from './caller-connections.js';
import {limitExceeded} from './caller-limits.js';
import {sendRefusal} from './caller-response.js';
import {EntryCall} from './entry-call.js';
import type {OnCallEnd} from './entry-call.js';
import type {EntryPorts} from './entry-ports.js';
import {buildCallRecord} from './build-call-record.js';
import {InFlightCounter} from './in-flight-counter.js';
import type {ReceivedCall, RoutedCall} from './routed-call.js';
import {withRetryJitter} from './retry-jitter.js';
import {CallScheduler} from './call-scheduler.js';

/** Refusals of an instance that has too much to do. */
const loadCodes: ReadonlySet<ResultCode> = new Set([
  CALL_CODES.queueFull,
  CALL_CODES.deadlineTooClose,
]);
/** Deepest call chain; twice the depth that the fleet plans for, plus 4. */
const maxDepth = 32;

/** Times of a call on the clock of `performance.now()`, in ms. */
interface ReadTimes {
  readonly readAt: number;
  /** Earlier than its reading after a stall. */
  readonly startAt: number;
}

/**
 * Request listener of the callers' side: finds the route, then hands the call
 * to an instance.
 *
 * @public
 */
export class EntryHandler {
  readonly #ports: EntryPorts;
  readonly #inFlight = new InFlightCounter();
  readonly #scheduler: CallScheduler;
  readonly #links = new CallerConnections();
  readonly #returning = new RetryingCallers();
  #draining = false;
  /** Time at which the calls in flight are cut. */
  #endsAt = Infinity;

  constructor(ports: EntryPorts) {
    this.#ports = ports;
    this.#scheduler = ports.scheduler ?? new CallScheduler();
  }

  /** Calls that have not ended. */
  get inFlight(): number {
    return this.#inFlight.count;
  }

  /** Listener for the `connection` event of the server. */
  readonly onConnection = (): void => this.#scheduler.onConnection();

  /** Listener for `http.createServer`. */
  readonly handle = (req: IncomingMessage, res: ServerResponse): void => {
    const readAt = performance.now();
    const startAt = readAt - this.#scheduler.chargedStallMs;
    this.#inFlight.enter();
    const isDraining = this.#draining;
    const isFirst = this.#links.recordCall(req.socket);
    this.#scheduler.run({
      mayBeStale: isFirst,
      isPrompt: !isFirst,
      isOver: () => this.#links.isClosed(req.socket),
      start: () => this.#begin(req, res, {readAt, startAt}, isDraining),
      drop: () => this.#inFlight.leave(),
    });
  };

  #begin(
    req: IncomingMessage,
    res: ServerResponse,
    {readAt, startAt}: ReadTimes,
    isDraining: boolean,
  ): void {
    const {protocol, waits} = this.#ports;
    const callId = protocol.callId(req);
    waits?.record(WAIT_PLACES.entry, callId, performance.now() - readAt);
    const headers = protocol.readCaller(req);
    const snapshot = this.#ports.config.current();
    const route = snapshot && this.#route(snapshot, req);
    const known = headers.unwrapOr(null);
    const call = {
      callId,
      req,
      res,
      startAt,
      headers: known,
      snapshot,
      route,
      waitedMs: known
        ? this.#returning.msSinceFirstAttempt(
            attemptOf(req, startAt, known),
            startAt,
          )
        : 0,
    };
    if (headers.isErr) this.#refuse(call, headers.error);
    else {
      const code = this.#refusalCode(call, isDraining);
      if (code) this.#refuse(call, new MeshError(code, code.text));
      else this.#admit(call as RoutedCall);
    }
  }

  /**
   * Refuses new calls, except those of calls at the own upstream, and resolves
   * when those in flight have ended.
   */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#inFlight.whenEmpty();
  }

  /**
   * Refuses calls whose time limit lies beyond the end of a stop: they would be
   * cut then, after they were passed on.
   *
   * @param at - On the clock of `performance.now()`, in ms.
   */
  setStopDeadline(at: number): void {
    this.#endsAt = at;
  }

  /** Checks before connections are closed that none is cut. */
  checkDrained(): void {
    const {count} = this.#inFlight;
    this.#ports.invariants.check(INVARIANT_CODES.cutOff, count === 0, {
      side: 'entry',
      count,
    });
  }

  #route(snapshot: Snapshot, req: IncomingMessage): Route | null {
    const url = req.url ?? '/';
    const query = url.indexOf('?');
    return this.#ports.config.match(snapshot, {
      method: req.method ?? 'GET',
      host: hostWithoutPort(req.headers.host ?? ''),
      path: query < 0 ? url : url.slice(0, query),
    });
  }

  #refusalCode(call: ReceivedCall, isDraining: boolean): ResultCode | null {
    if (isDraining && !this.#isSubCall(call)) return CALL_CODES.draining;
    if (!call.snapshot) return CALL_CODES.noConfiguration;
    const {callerLimits} = call.snapshot.document;
    const exceeded = callerLimits && limitExceeded(call.req, callerLimits);
    if (exceeded) return exceeded;
    if ((call.headers?.depth ?? 0) > maxDepth) return CALL_CODES.tooDeep;
    if (!call.route) return CALL_CODES.noRoute;
    if (call.headers?.deadlineMs === 0) return CALL_CODES.deadlineTooClose;
    if (this.#endsTooLate(call)) return CALL_CODES.draining;
    return null;
  }

  #endsTooLate({startAt, headers, route}: ReceivedCall): boolean {
    if (!headers || !route) return false;
    const {deadlineMarginMs: answerLeadMs} = this.#ports.protocol;
    return startAt + callTimeoutMs(headers, route, answerLeadMs) > this.#endsAt;
  }

  /** Refusing a sub-call would harm the call that the own upstream runs. */
  #isSubCall({headers}: ReceivedCall): boolean {
    const parent = headers?.parentCallId ?? null;
    return parent !== null && this.#ports.serving.isRunning(parent);
  }

  /** Starts the call unless the instances would refuse it. */
  #admit(call: RoutedCall): void {
    const group = throttleGroup(call.route.name, call.waitedMs);
    const now = performance.now();
    const turnedAway = this.#ports.throttle?.rejectionFor(group, now) ?? null;
    if (!turnedAway) {
      this.#start(call, group);
      return;
    }
    const {throttled} = CALL_CODES;
    const {random} = this.#ports;
    const retryAfterMs = withRetryJitter(turnedAway.retryAfterMs, random);
    const err = new MeshError(throttled, throttled.text, {retryAfterMs});
    this.#noteFailed(call);
    this.#refuse(call, err, turnedAway);
  }

  #start(call: RoutedCall, group: string): void {
    const done: OnCallEnd = (record, refusal) => {
      this.#inFlight.leave();
      const outcome = throttleOutcomeOf(record, refusal);
      const told = refusal?.details['retryAfterMs'];
      const retryAfterMs = typeof told === 'number' ? told : undefined;
      const now = performance.now();
      this.#ports.throttle?.recordOutcome(group, outcome, now, retryAfterMs);
      // A caller that left an attempt has status 0; it may return as well.
      if (record.status >= minServerErrorStatus || record.status === 0) {
        this.#noteFailed(call);
      }
      this.#ports.observer.onCall(record);
    };
    new EntryCall(call, this.#ports, this.#links, done).start();
  }

  #noteFailed({req, startAt, headers, waitedMs}: RoutedCall): void {
    const attempt = attemptOf(req, startAt, headers);
    const firstAt = startAt - waitedMs;
    this.#returning.recordFailure(attempt, firstAt, performance.now());
  }

  #refuse(
    call: ReceivedCall,
    err: MeshError,
    turnedAway: ThrottleRejection | null = null,
  ): void {
    this.#inFlight.leave();
    const configVersion = call.snapshot?.version ?? 0;
    const mark = {callId: call.callId, configVersion, retriesLeft: null};
    const status = sendRefusal(call.res, this.#ports.protocol, err, mark);
    this.#ports.observer.onCall(
      buildCallRecord(call, {
        service: call.route?.service.name ?? null,
        choice: null,
        attempts: [],
        headMs: null,
        status,
        responseBytes: 0,
        code: err.code,
        turnedAway,
      }),
    );
  }
}

/** Whether instances refused the call because of load. */
function throttleOutcomeOf(
  {attempts}: CallRecord,
  refusal: MeshError | null,
): ThrottleOutcome {
  if (attempts.length === 0) return THROTTLE_OUTCOMES.unknown;
  if (!refusal?.code.notRun) return THROTTLE_OUTCOMES.accepted;
  return loadCodes.has(refusal.code)
    ? THROTTLE_OUTCOMES.refused
    : THROTTLE_OUTCOMES.unknown;
}

function attemptOf(
  {headers, url}: IncomingMessage,
  startAt: number,
  {deadlineMs}: CallerHeaders,
): CallerAttempt {
  const key = `${headers.host ?? ''}${url ?? ''}`;
  return {key, endsAt: startAt + deadlineMs};
}

function hostWithoutPort(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

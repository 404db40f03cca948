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
import {MemoryBudget} from './memory-budget.js';
import {RouteCallers} from './route-callers.js';
import type {ReceivedCall, RoutedCall} from './routed-call.js';
import type {SharedByCalls} from './shared-by-calls.js';
import {withRetryJitter} from './retry-jitter.js';
import {CallScheduler} from './call-scheduler.js';

/** Codes with which overloaded instances refuse calls. */
const overloadCodes: ReadonlySet<ResultCode> = new Set([
  CALL_CODES.queueFull,
  CALL_CODES.deadlineTooClose,
]);
/** Request bodies that a node reads before an instance takes them. */
const readAheadBytes = 16_777_216;
/** Responses without a length that a node holds beyond the first part of each. */
const heldResponseBytes = 16_777_216;
/** Longest call chain: twice the depth that the fleet plans for, plus 4. */
const maxDepth = 32;

/** When a request was read and when its time limit began; `performance.now()`, in ms. */
interface ReadTimes {
  readonly readAt: number;
  /** Earlier than `readAt` if the event loop was blocked when the request arrived. */
  readonly startAt: number;
}

/**
 * Handles requests of callers: matches the route, then forwards the call to an
 * instance.
 *
 * @public
 */
export class EntryHandler {
  readonly #ports: EntryPorts;
  readonly #inFlight = new InFlightCounter();
  readonly #scheduler: CallScheduler;
  readonly #connections = new CallerConnections();
  readonly #shared: SharedByCalls = {
    connections: this.#connections,
    readAhead: new MemoryBudget(readAheadBytes),
    heldResponses: new MemoryBudget(heldResponseBytes),
    routeCallers: new RouteCallers(),
  };
  readonly #returningCallers = new RetryingCallers();
  /** Calls that have been admitted and have not ended. */
  readonly #calls = new Set<EntryCall>();
  #draining = false;
  #isClosed = false;
  /** Time at which a stopping node ends its calls in flight. */
  #stopAt = Infinity;

  constructor(ports: EntryPorts) {
    this.#ports = ports;
    this.#scheduler = ports.scheduler ?? new CallScheduler();
  }

  /** Calls that have not ended. */
  get inFlight(): number {
    return this.#inFlight.count;
  }

  /** Memory of the responses that are held, in bytes. */
  get heldResponseBytes(): number {
    return this.#shared.heldResponses.usedBytes;
  }

  /** Listener for the `connection` event of the server. */
  readonly onConnection = (): void => this.#scheduler.onConnection();

  /** Listener for `http.createServer`. */
  readonly handle = (req: IncomingMessage, res: ServerResponse): void => {
    const readAt = performance.now();
    const startAt = readAt - this.#scheduler.chargedStallMs;
    this.#inFlight.enter();
    const isDraining = this.#draining;
    const isFirst = this.#connections.recordCall(req.socket);
    this.#scheduler.run({
      mayBeStale: isFirst,
      isPrompt: !isFirst,
      isOver: () => this.#connections.isClosed(req.socket),
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
    const callerHeaders = headers.unwrapOr(null);
    const call = {
      callId,
      req,
      res,
      startAt,
      headers: callerHeaders,
      snapshot,
      route,
      waitedMs: callerHeaders
        ? this.#returningCallers.msSinceFirstAttempt(
            attemptOf(req, startAt, callerHeaders),
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
   * Refuses new calls, except sub-calls of calls that the local upstream runs.
   * Resolves when the calls in flight have ended.
   */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#inFlight.whenEmpty();
  }

  /**
   * Refuses calls that may take longer than until `at`, when the node stops. Such
   * calls would be aborted at that time, after they were forwarded.
   *
   * @param at - On the clock of `performance.now()`, in ms.
   */
  setStopDeadline(at: number): void {
    this.#stopAt = at;
  }

  /**
   * Ends all calls in flight at once: those whose responses have not begun with a
   * refusal, the others by resetting their connections. Refuses all further calls.
   */
  cutCalls(): void {
    this.#isClosed = true;
    for (const call of [...this.#calls]) call.cut();
  }

  /** Checks that no call is in flight, before the connections are closed. */
  checkDrained(): void {
    const {count} = this.#inFlight;
    this.#ports.invariants.check(INVARIANT_CODES.cutOff, count === 0, {
      side: 'entry',
      count,
    });
  }

  #route(snapshot: Snapshot, req: IncomingMessage): Route | null {
    return this.#ports.config.match(snapshot, {
      method: req.method ?? 'GET',
      host: req.headers.host ?? '',
      path: req.url ?? '/',
    });
  }

  #refusalCode(call: ReceivedCall, isDraining: boolean): ResultCode | null {
    if (this.#isClosed) return CALL_CODES.draining;
    if (isDraining && !this.#isSubCall(call)) return CALL_CODES.draining;
    if (!call.snapshot) return CALL_CODES.noConfiguration;
    const {callerLimits} = call.snapshot.document;
    const exceeded = callerLimits && limitExceeded(call.req, callerLimits);
    if (exceeded) return exceeded;
    if ((call.headers?.depth ?? 0) > maxDepth) return CALL_CODES.tooDeep;
    if (!call.route) return CALL_CODES.noRoute;
    if (call.headers?.deadlineMs === 0) return CALL_CODES.deadlineTooClose;
    if (this.#outlivesStop(call)) return CALL_CODES.draining;
    return null;
  }

  #outlivesStop({startAt, headers, route}: ReceivedCall): boolean {
    if (!headers || !route) return false;
    const {deadlineMarginMs} = this.#ports.protocol;
    return (
      startAt + callTimeoutMs(headers, route, deadlineMarginMs) > this.#stopAt
    );
  }

  /** Whether the call is a sub-call of one that the local upstream runs now. */
  #isSubCall({headers}: ReceivedCall): boolean {
    const parent = headers?.parentCallId ?? null;
    return parent !== null && this.#ports.serving.isRunning(parent);
  }

  /** Starts the call, or refuses it if the throttle expects instances to refuse it. */
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
    this.#recordFailure(call);
    this.#refuse(call, err, turnedAway);
  }

  #start(call: RoutedCall, group: string): void {
    const onEnd: OnCallEnd = (record, refusal) => {
      this.#calls.delete(entryCall);
      this.#inFlight.leave();
      const outcome = throttleOutcomeOf(record, refusal);
      const baseMs = refusal?.details['retryAfterMs'];
      const retryAfterMs = typeof baseMs === 'number' ? baseMs : undefined;
      const now = performance.now();
      this.#ports.throttle?.recordOutcome(group, outcome, now, retryAfterMs);
      // Status 0 means that the caller disconnected. It may retry as well.
      if (record.status >= minServerErrorStatus || record.status === 0) {
        this.#recordFailure(call);
      }
      this.#ports.observer.onCall(record);
    };
    const entryCall = new EntryCall(call, this.#ports, this.#shared, onEnd);
    this.#calls.add(entryCall);
    entryCall.start();
  }

  #recordFailure({req, startAt, headers, waitedMs}: RoutedCall): void {
    const attempt = attemptOf(req, startAt, headers);
    const firstAt = startAt - waitedMs;
    this.#returningCallers.recordFailure(attempt, firstAt, performance.now());
  }

  #refuse(
    call: ReceivedCall,
    err: MeshError,
    turnedAway: ThrottleRejection | null = null,
  ): void {
    this.#inFlight.leave();
    const configVersion = call.snapshot?.version ?? 0;
    const metadata = {callId: call.callId, configVersion, retriesLeft: null};
    const status = sendRefusal(call.res, this.#ports.protocol, err, metadata);
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

/** Whether instances accepted the call or refused it because of load. */
function throttleOutcomeOf(
  {attempts}: CallRecord,
  refusal: MeshError | null,
): ThrottleOutcome {
  if (attempts.length === 0) return THROTTLE_OUTCOMES.unknown;
  if (!refusal?.code.notRun) return THROTTLE_OUTCOMES.accepted;
  return overloadCodes.has(refusal.code)
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

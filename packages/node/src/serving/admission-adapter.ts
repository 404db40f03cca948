import {MeshError} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {Deadline, SubCallRoutes} from '@verbenabeam/routing';
import type {
  AdmissionCall,
  AdmissionDecision as Decision,
  AdmissionPolicy,
  LoadReport,
} from '@verbenabeam/routing';
import {Result} from 'true-myth';
import type {
  AdmissionDecision,
  AdmissionPort,
  AdmissionRequest,
  Ticket,
} from '../calls/index.js';

/** A call that waits for a slot. */
interface Waiting {
  readonly route: string;
  settle(decided: Result<Ticket, MeshError>): void;
}

/** Options of {@link AdmissionAdapter}. @internal */
export interface AdmissionAdapterOptions {
  readonly clock: Clock;
  readonly admission: AdmissionPolicy;
  /** Learns how long the calls of a route held a slot; default none. */
  readonly onSlotReleased?: (route: string, heldMs: number) => void;
}

/** Connects the admission logic to timers and promises. @internal */
export class AdmissionAdapter implements AdmissionPort {
  readonly #clock: Clock;
  readonly #admission: AdmissionPolicy;
  readonly #subCalls = new SubCallRoutes();
  readonly #onLeft: (route: string, heldMs: number) => void;
  readonly #waiting = new Map<string, Waiting>();
  #timer: NodeJS.Timeout | null = null;

  constructor({
    clock,
    admission,
    onSlotReleased: onLeft,
  }: AdmissionAdapterOptions) {
    this.#clock = clock;
    this.#admission = admission;
    this.#onLeft = onLeft ?? (() => undefined);
  }

  get inFlight(): number {
    return this.#admission.inFlight;
  }

  load(): LoadReport {
    return this.#admission.report();
  }

  /** Takes over the announced number of slots. */
  setSlots(slots: number): void {
    this.#carryOut(this.#admission.setSlots(slots, this.#clock.now()));
  }

  /** Forgets what was learned of routes that the configuration no longer names. */
  retainRoutes(names: ReadonlySet<string>): void {
    this.#subCalls.retain(names);
  }

  enter(req: AdmissionRequest): AdmissionDecision {
    const {callId, callerClass} = req;
    this.#subCalls.record(req.route, callerClass);
    const call = this.#callOf(req);
    const decision = this.#admission.tryAdmit(call, this.#clock.now());
    if (decision.kind === 'admitted') {
      return {kind: 'admitted', ticket: this.#ticket(callId, req.route)};
    }
    if (decision.kind === 'refused') {
      return {kind: 'refused', err: refusal(decision)};
    }
    const {route} = req;
    const decided = new Promise<Result<Ticket, MeshError>>(resolve => {
      this.#waiting.set(callId, {route, settle: resolve});
    });
    this.#schedule();
    return {
      kind: 'queued',
      decided,
      cancel: () => this.#cancel(callId, route),
    };
  }

  withdraw(callId: string): void {
    this.#admission.withdraw(callId);
  }

  announce(req: AdmissionRequest): MeshError | null {
    const call = this.#callOf(req);
    const decision = this.#admission.announce(call, this.#clock.now());
    return decision?.kind === 'refused' ? refusal(decision) : null;
  }

  #callOf({callId, deadlineAt, ...rest}: AdmissionRequest): AdmissionCall {
    const isSubCall = this.#subCalls.isSubCall(rest.route);
    return {id: callId, deadline: new Deadline(deadlineAt), isSubCall, ...rest};
  }

  #ticket(callId: string, route: string): Ticket {
    const since = this.#clock.now();
    return {
      onResponseHead: serviceMs => {
        const now = this.#clock.now();
        this.#carryOut(this.#admission.responseStarted(callId, now, serviceMs));
      },
      release: serviceMs => {
        const now = this.#clock.now();
        this.#onLeft(route, now - since);
        this.#carryOut(this.#admission.finish(callId, now, serviceMs));
      },
    };
  }

  #cancel(callId: string, route: string): void {
    this.#waiting.delete(callId);
    if (this.#admission.cancel(callId)) return;
    // The call left the queue before it was cancelled; its slot is given back.
    this.#ticket(callId, route).release(null);
  }

  #carryOut(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const waiting = this.#waiting.get(decision.callId);
      this.#waiting.delete(decision.callId);
      if (decision.kind === 'refused') {
        waiting?.settle(Result.err(refusal(decision)));
      } else if (decision.kind === 'admitted') {
        const ticket = this.#ticket(decision.callId, waiting?.route ?? '');
        if (waiting) waiting.settle(Result.ok(ticket));
        else ticket.release(null);
      }
    }
    this.#schedule();
  }

  /** Wakes up when the next waiting call expires. */
  #schedule(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
    const at = this.#admission.nextExpiry;
    if (at === null) return;
    const waitMs = Math.max(1, Math.ceil(at - this.#clock.now()));
    this.#timer = setTimeout(() => {
      this.#carryOut(this.#admission.expire(this.#clock.now()));
    }, waitMs);
    this.#timer.unref();
  }
}

function refusal(decision: Extract<Decision, {kind: 'refused'}>): MeshError {
  const {code, retryAfterMs} = decision;
  const details = retryAfterMs === undefined ? {} : {retryAfterMs};
  return new MeshError(code, code.text, details);
}

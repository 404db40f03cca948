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

/** A call that is queued for a slot. */
interface QueuedCall {
  readonly route: string;
  settle(decided: Result<Ticket, MeshError>): void;
}

/** Options of {@link AdmissionAdapter}. @internal */
export interface AdmissionAdapterOptions {
  readonly clock: Clock;
  readonly admission: AdmissionPolicy;
  /** Called with the time that a call of the route held its slot. */
  readonly onSlotReleased?: (route: string, heldMs: number) => void;
}

/** Runs an admission policy with timers and promises. @internal */
export class AdmissionAdapter implements AdmissionPort {
  readonly #clock: Clock;
  readonly #admission: AdmissionPolicy;
  readonly #subCalls = new SubCallRoutes();
  readonly #onSlotReleased: (route: string, heldMs: number) => void;
  readonly #queued = new Map<string, QueuedCall>();
  #timer: NodeJS.Timeout | null = null;

  constructor({clock, admission, onSlotReleased}: AdmissionAdapterOptions) {
    this.#clock = clock;
    this.#admission = admission;
    this.#onSlotReleased = onSlotReleased ?? (() => undefined);
  }

  get inFlight(): number {
    return this.#admission.inFlight;
  }

  load(): LoadReport {
    return this.#admission.report();
  }

  isSubCall(route: string): boolean {
    return this.#subCalls.isSubCall(route);
  }

  /** Applies the number of slots that the upstream announced. */
  setSlots(slots: number): void {
    this.#applyDecisions(this.#admission.setSlots(slots, this.#clock.now()));
  }

  /** Drops the state of routes that the configuration no longer contains. */
  retainRoutes(names: ReadonlySet<string>): void {
    this.#subCalls.retain(names);
  }

  enter(req: AdmissionRequest): AdmissionDecision {
    const {callId, callerClass} = req;
    this.#subCalls.record(req.route, callerClass);
    const call = this.#toAdmissionCall(req);
    const decision = this.#admission.tryAdmit(call, this.#clock.now());
    if (decision.kind === 'admitted') {
      return {kind: 'admitted', ticket: this.#ticket(callId, req.route)};
    }
    if (decision.kind === 'refused') {
      return {kind: 'refused', err: refusal(decision)};
    }
    const {route} = req;
    const decided = new Promise<Result<Ticket, MeshError>>(resolve => {
      this.#queued.set(callId, {route, settle: resolve});
    });
    this.#scheduleExpiry();
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
    const call = this.#toAdmissionCall(req);
    const decision = this.#admission.announce(call, this.#clock.now());
    return decision?.kind === 'refused' ? refusal(decision) : null;
  }

  #toAdmissionCall({
    callId,
    deadlineAt,
    ...rest
  }: AdmissionRequest): AdmissionCall {
    const isSubCall = this.#subCalls.isSubCall(rest.route);
    return {id: callId, deadline: new Deadline(deadlineAt), isSubCall, ...rest};
  }

  #ticket(callId: string, route: string): Ticket {
    const admittedAt = this.#clock.now();
    return {
      onResponseHead: serviceMs => {
        const now = this.#clock.now();
        this.#applyDecisions(
          this.#admission.responseStarted(callId, now, serviceMs),
        );
      },
      release: serviceMs => {
        const now = this.#clock.now();
        this.#onSlotReleased(route, now - admittedAt);
        this.#applyDecisions(this.#admission.finish(callId, now, serviceMs));
      },
    };
  }

  #cancel(callId: string, route: string): void {
    this.#queued.delete(callId);
    if (this.#admission.cancel(callId)) return;
    // The call was admitted before it was cancelled, so its slot is released.
    this.#ticket(callId, route).release(null);
  }

  #applyDecisions(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const queued = this.#queued.get(decision.callId);
      this.#queued.delete(decision.callId);
      if (decision.kind === 'refused') {
        queued?.settle(Result.err(refusal(decision)));
      } else if (decision.kind === 'admitted') {
        const ticket = this.#ticket(decision.callId, queued?.route ?? '');
        if (queued) queued.settle(Result.ok(ticket));
        else ticket.release(null);
      }
    }
    this.#scheduleExpiry();
  }

  /** Sets a timer for the queued call that expires next. */
  #scheduleExpiry(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
    const at = this.#admission.nextExpiry;
    if (at === null) return;
    const waitMs = Math.max(1, Math.ceil(at - this.#clock.now()));
    this.#timer = setTimeout(() => {
      this.#applyDecisions(this.#admission.expire(this.#clock.now()));
    }, waitMs);
    this.#timer.unref();
  }
}

function refusal(decision: Extract<Decision, {kind: 'refused'}>): MeshError {
  const {code, retryAfterMs} = decision;
  const details = retryAfterMs === undefined ? {} : {retryAfterMs};
  return new MeshError(code, code.text, details);
}

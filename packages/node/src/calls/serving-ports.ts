import type {Invariants, MeshError} from '@verbenabeam/core';
import type {CallProtocol} from './call-protocol.js';
import type {CallWaits} from './call-waits.js';
import type {CallScheduler} from './call-scheduler.js';
import type {UpstreamState} from '@verbenabeam/membership';
import type {LoadReport, RetryAllowances} from '@verbenabeam/routing';
import type {Result} from 'true-myth';

/** The upstream beside this node. @public */
export interface OwnUpstream {
  readonly service: string;
  readonly version: string;
  /** `ip:port` of its HTTP listener. */
  readonly address: string;
  /** Identity of its process, if it announces one. */
  readonly id?: string | null;
  readonly state: UpstreamState;
}

/** Knows the own upstream from its announcements. @public */
export interface OwnUpstreamPort {
  /** Null until it announced itself. */
  current(): OwnUpstream | null;
  /** Called when it refuses connections. */
  markDown(reason: string): void;
}

/** What admission decides by. @public */
export interface AdmissionRequest {
  readonly callId: string;
  /** Time of the deadline on the clock of `performance.now()`, in ms. */
  readonly deadlineAt: number;
  /** Name of the route; times in the upstream are kept for each. */
  readonly route: string;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Time after which an answer is of less use, on the same clock. */
  readonly targetAt: number;
  /** Class of the caller at the entry node. */
  readonly callerClass: string;
}

/** A slot that a call holds. @public */
export interface Ticket {
  /**
   * The head of the answer has arrived; the slot stays in use.
   *
   * @param serviceMs - Time until the head, in milliseconds.
   */
  onResponseHead(serviceMs: number): void;
  /**
   * Frees the slot; at most once.
   *
   * @param serviceMs - Time in the upstream; null if it did not answer.
   */
  release(serviceMs: number | null): void;
}

/** Decision of admission. @public */
export type AdmissionDecision =
  | {readonly kind: 'admitted'; readonly ticket: Ticket}
  | {readonly kind: 'refused'; readonly err: MeshError}
  | {
      readonly kind: 'queued';
      readonly decided: Promise<Result<Ticket, MeshError>>;
      /** Leaves the queue; a ticket that is granted later is left. */
      readonly cancel: () => void;
    };

/** Slots and queue of the own upstream. @public */
export interface AdmissionPort {
  enter(call: AdmissionRequest): AdmissionDecision;
  /**
   * Tells of a call that enters once its body has arrived. Returns the refusal
   * that it would get by now, or null; then `enter` or `withdraw` must follow.
   */
  announce(call: AdmissionRequest): MeshError | null;
  withdraw(callId: string): void;
  load(): LoadReport;
}

/** A request that was in flight when the upstream died. @public */
export interface LostRequest {
  readonly callId: string;
  readonly fingerprint: string;
}

/** Keeps requests that crash upstreams away from them. @public */
export interface QuarantinePort {
  /** False while no fingerprint is suspected, so none is computed. */
  readonly active: boolean;
  /** Null admits; an error refuses as not run (1609, 1615). */
  admit(callId: string, fingerprint: string): MeshError | null;
  /**
   * A call ended. A complete response clears a suspicion; an unknown id is
   * ignored.
   */
  ended(callId: string, complete: boolean): void;
  /** The upstream died with these requests in flight. */
  crashed(lost: readonly LostRequest[]): void;
}

/** Knows the upstream versions that must receive no more calls. @public */
export interface StoppedVersions {
  /** Whether the move to the version was stopped or taken back. */
  isStopped(service: string, version: string): boolean;
}

/** What the serving side of the data path depends on. @public */
export interface ServingPorts {
  readonly upstream: OwnUpstreamPort;
  readonly admission: AdmissionPort;
  readonly quarantine: QuarantinePort;
  readonly stopped: StoppedVersions;
  /** Shared with the entry side of this node. */
  readonly ledger: RetryAllowances;
  readonly protocol: CallProtocol;
  /** Starts the calls; shared by both sides. Default: one for each. */
  readonly scheduler?: CallScheduler;
  /** Notes long waits; default: they are not noted. */
  readonly waits?: CallWaits;
  readonly invariants: Invariants;
}

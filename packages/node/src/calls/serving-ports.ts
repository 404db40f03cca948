import type {Invariants, MeshError} from '@verbenabeam/core';
import type {CallProtocol} from './call-protocol.js';
import type {CallWaits} from './call-waits.js';
import type {CallScheduler} from './call-scheduler.js';
import type {UpstreamState} from '@verbenabeam/membership';
import type {LoadReport, RetryAllowances} from '@verbenabeam/routing';
import type {Result} from 'true-myth';

/** The upstream that this node serves. @public */
export interface OwnUpstream {
  readonly service: string;
  readonly version: string;
  /** `ip:port` of its HTTP listener. */
  readonly address: string;
  /** Identity of its process, if it announces one. */
  readonly id?: string | null;
  readonly state: UpstreamState;
}

/** State of the upstream of this node, from its announcements. @public */
export interface OwnUpstreamPort {
  /** Null until the upstream has announced itself. */
  current(): OwnUpstream | null;
  /** Called when a request shows that the upstream is gone or replaced. */
  markDown(reason: string): void;
}

/** Input of the admission decision for a call. @public */
export interface AdmissionRequest {
  readonly callId: string;
  /** Time of the deadline on the clock of `performance.now()`, in ms. */
  readonly deadlineAt: number;
  /** Name of the route; upstream response times are kept per route. */
  readonly route: string;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Time after which a response is less useful, on the same clock. */
  readonly targetAt: number;
  /** Class of the caller, assigned by the entry node. */
  readonly callerClass: string;
}

/** A slot that a call holds. @public */
export interface Ticket {
  /**
   * The head of the response has arrived; the slot stays in use.
   *
   * @param serviceMs - Time until the head, in ms.
   */
  onResponseHead(serviceMs: number): void;
  /**
   * Releases the slot. Called at most once.
   *
   * @param serviceMs - Time in the upstream, in ms; null without a complete response.
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
      /** Leaves the queue; a ticket that is granted later is released. */
      readonly cancel: () => void;
    };

/** Slots and queue of the own upstream. @public */
export interface AdmissionPort {
  enter(call: AdmissionRequest): AdmissionDecision;
  /**
   * Announces a call that will enter once its body has arrived. Returns the
   * error if the call would be refused now. After null, `enter` or `withdraw`
   * must follow.
   */
  announce(call: AdmissionRequest): MeshError | null;
  withdraw(callId: string): void;
  load(): LoadReport;
  /** Whether only upstreams make calls of the route. */
  isSubCall(route: string): boolean;
}

/** A request that was in flight when the upstream crashed. @public */
export interface LostRequest {
  readonly callId: string;
  readonly fingerprint: string;
}

/** Blocks requests that are suspected of crashing upstreams. @public */
export interface QuarantinePort {
  /** False while there are no suspects; fingerprints are not computed then. */
  readonly active: boolean;
  /** Returns null to admit, or an error that refuses as not run (1609, 1615). */
  admit(callId: string, fingerprint: string): MeshError | null;
  /**
   * A call ended. A complete response clears its suspicion. Unknown ids are
   * ignored.
   */
  ended(callId: string, complete: boolean): void;
  /** The upstream crashed with these requests in flight. */
  crashed(lost: readonly LostRequest[]): void;
}

/** Tells which upstream versions must receive no more calls. @public */
export interface StoppedVersions {
  /** Whether the move to the version was stopped or rolled back. */
  isStopped(service: string, version: string): boolean;
}

/** Dependencies of the serving side of the data path. @public */
export interface ServingPorts {
  readonly upstream: OwnUpstreamPort;
  readonly admission: AdmissionPort;
  readonly quarantine: QuarantinePort;
  readonly stopped: StoppedVersions;
  /** Retries left per call, shared with the entry side of this node. */
  readonly ledger: RetryAllowances;
  readonly protocol: CallProtocol;
  /** Shared by the entry and the serving side. Default: one for each side. */
  readonly scheduler?: CallScheduler;
  /** Records the waits of calls. Default: waits are not recorded. */
  readonly waits?: CallWaits;
  readonly invariants: Invariants;
}

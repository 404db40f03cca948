import type {Result} from 'true-myth';
import type {Invariants, MeshError, RandomSource} from '@verbenabeam/core';
import type {Route, Service, Snapshot} from '@verbenabeam/document';
import type {
  AdaptiveThrottle,
  LoadReport,
  PickLimits,
  RetryBudget,
  RetryAllowances,
} from '@verbenabeam/routing';
import type {ByteStream, PeerAddress, PeerBus} from '@verbenabeam/wire';
import type {CallHead} from './call-head.js';
import type {CallProtocol} from './call-protocol.js';
import type {CallRecord} from './call-record.js';
import type {CallWaits} from './call-waits.js';
import type {CallScheduler} from './call-scheduler.js';

/** Parts of a request by which its route is matched. @public */
export interface RouteQuery {
  readonly method: string;
  /** Host header without port, lower case; empty if there is none. */
  readonly host: string;
  /** Path without query. */
  readonly path: string;
}

/** The active configuration. @public */
export interface ConfigPort {
  /** Null until the node holds a configuration. */
  current(): Snapshot | null;
  match(snapshot: Snapshot, query: RouteQuery): Route | null;
}

/** Chooses the upstream version of a call by the shares of running moves. @public */
export interface VersionChooser {
  /**
   * Returns the same version for the same call id, as long as the shares are
   * unchanged and the version has an instance outside `exclude` (node ids).
   */
  choose(
    snapshot: Snapshot,
    service: Service,
    callId: string,
    exclude: ReadonlySet<string>,
  ): VersionChoice;
  /** Called when a call is sent to an instance of `version`. */
  onSent(service: string, version: string): void;
}

/** A version, and the move by which it was chosen. @public */
export interface VersionChoice {
  readonly version: string;
  /** Id of the running move of the service; null if there is none. */
  readonly moveId: string | null;
}

/** An instance that can take a call. @public */
export interface Target {
  readonly nodeId: string;
  /** Wire address of the node that serves the upstream. */
  readonly address: PeerAddress;
  /** True for the upstream of this node. */
  readonly local: boolean;
}

/** Outcomes of an attempt, as the choice of instances distinguishes them. @public */
export const OUTCOMES = {
  /** Response with a status below 500. */
  ok: 'ok',
  /** Response with a status of 500 or above. */
  failed: 'failed',
  /** Refused by the serving node; the request did not run. */
  refused: 'refused',
  /** Refused by the upstream although it had a free slot; the request did not run. */
  shed: 'shed',
  /** Nothing could be sent to the node. */
  unreachable: 'unreachable',
  /** Lost after it was sent; the request may have run. */
  lost: 'lost',
  /** No response by the deadline. */
  timeout: 'timeout',
  /** Ended by the caller. */
  cancelled: 'cancelled',
} as const;

/** One of the values of {@link OUTCOMES}. @public */
export type Outcome = (typeof OUTCOMES)[keyof typeof OUTCOMES];

/** Result of one attempt. @public */
export interface AttemptOutcome {
  readonly target: Target;
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly outcome: Outcome;
  /** Time until the response head or the failure, in ms. */
  readonly latencyMs: number;
  /** Load report of the instance; null if it sent none. */
  readonly load: LoadReport | null;
}

/** Chooses instances, based on the outcomes of earlier attempts. @public */
export interface InstanceChooser {
  /** Null if no instance outside `exclude` (node ids) can take the call. */
  pick(
    service: string,
    version: string,
    exclude: ReadonlySet<string>,
    limits?: PickLimits,
  ): Target | null;
  /** Called when an attempt begins. */
  began(target: Target): void;
  /** Called once for each attempt that began. */
  ended(outcome: AttemptOutcome): void;
}

/** Identifies a claim, and the call that makes it. @public */
export interface ClaimKey {
  readonly environment: string;
  readonly service: string;
  readonly callerClass: string;
  readonly key: string;
  readonly callId: string;
}

/** The stored response of a finished claim. @public */
export interface StoredResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  /** Null if the body exceeded 16 KB and was not kept. */
  readonly body: Uint8Array | null;
}

/** Result of the request for a claim. @public */
export type ClaimDecision =
  | {readonly kind: 'granted'}
  | {readonly kind: 'inProgress'}
  | {readonly kind: 'finished'; readonly answer: StoredResponse}
  | {readonly kind: 'unknown'};

/** How a granted claim ended. @public */
export type ClaimResult =
  | {readonly kind: 'answered'; readonly answer: StoredResponse}
  | {readonly kind: 'notRun'}
  | {readonly kind: 'unknown'};

/** At-most-once claims for non-idempotent routes. @public */
export interface ClaimsPort {
  /** An error means that no claim was recorded, so the call must not run. */
  begin(
    claim: ClaimKey,
    timeoutMs: number,
  ): Promise<Result<ClaimDecision, MeshError>>;
  finish(claim: ClaimKey, result: ClaimResult): void;
}

/** Receives the record of each ended call, for metrics, move evidence and logs. @public */
export interface CallObserver {
  onCall(record: CallRecord): void;
}

/** The serving side of this node. @public */
export interface LocalServing {
  serve(head: CallHead, stream: ByteStream): void;
  /** Whether the local upstream is running the call. */
  isRunning(callId: string): boolean;
}

/** Dependencies of the entry side of the data path. @public */
export interface EntryPorts {
  readonly config: ConfigPort;
  readonly versions: VersionChooser;
  readonly instances: InstanceChooser;
  readonly retries: RetryBudget;
  /** Shared with the serving side of this node. */
  readonly ledger: RetryAllowances;
  readonly claims: ClaimsPort;
  readonly bus: Pick<PeerBus, 'openStream' | 'openStreamNow'>;
  readonly serving: LocalServing;
  readonly observer: CallObserver;
  readonly protocol: CallProtocol;
  /** Delays the start of calls; entry and serving side share it. Default: one for each side. */
  readonly scheduler?: CallScheduler;
  /** Rejects calls that instances would probably refuse. Default: no throttling. */
  readonly throttle?: AdaptiveThrottle;
  /** Records long waits. Default: no recording. */
  readonly waits?: CallWaits;
  /** Splits the calls of a route over its services and spreads retries. */
  readonly random: RandomSource;
  readonly invariants: Invariants;
}

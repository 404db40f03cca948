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

/** What a route is looked up by. @public */
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

/** Chooses the upstream version of a call by the moves' shares. @public */
export interface VersionChooser {
  /**
   * The same call id gets the same version while the shares are unchanged and
   * an instance of it is outside `exclude` (node ids).
   */
  choose(
    snapshot: Snapshot,
    service: Service,
    callId: string,
    exclude: ReadonlySet<string>,
  ): VersionChoice;
  /** Called when a call is sent to an instance of the version. */
  onSent(service: string, version: string): void;
}

/** A version and the move that led to it. @public */
export interface VersionChoice {
  readonly version: string;
  /** Id of the running move of the service; null if there is none. */
  readonly moveId: string | null;
}

/** An instance that can take a call. @public */
export interface Target {
  readonly nodeId: string;
  /** Wire address of the node beside the upstream. */
  readonly address: PeerAddress;
  /** True for the upstream of this node. */
  readonly local: boolean;
}

/** Kinds of results of one attempt, for the choice of instances. @public */
export const OUTCOMES = {
  /** Answered with a status below 500. */
  ok: 'ok',
  /** Answered with a status from 500. */
  failed: 'failed',
  /** Refused as not run by the instance. */
  refused: 'refused',
  /** Refused as not run by the upstream itself, which had a free slot. */
  shed: 'shed',
  /** Nothing could be sent to the node. */
  unreachable: 'unreachable',
  /** Lost after it was sent; it may have been run. */
  lost: 'lost',
  /** No answer by the deadline. */
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
  /** Time until the answer's head or the failure, in ms. */
  readonly latencyMs: number;
  /** Report of the instance, if it sent one. */
  readonly load: LoadReport | null;
}

/** Chooses instances and learns from outcomes. @public */
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

/** Identity of a claim. @public */
export interface ClaimKey {
  readonly environment: string;
  readonly service: string;
  readonly callerClass: string;
  readonly key: string;
  readonly callId: string;
}

/** The stored answer of a finished claim. @public */
export interface StoredResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  /** Null if the body exceeded 16 KB and was not kept. */
  readonly body: Uint8Array | null;
}

/** Answer to the begin of a claim. @public */
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
  /** An error means that the claim was not recorded: not run. */
  begin(
    claim: ClaimKey,
    timeoutMs: number,
  ): Promise<Result<ClaimDecision, MeshError>>;
  finish(claim: ClaimKey, result: ClaimResult): void;
}

/** Learns of each call that ended, for metrics, evidence and records. @public */
export interface CallObserver {
  onCall(record: CallRecord): void;
}

/** The serving side of this node. @public */
export interface LocalServing {
  serve(head: CallHead, stream: ByteStream): void;
  /** Whether the own upstream runs the call now. */
  isRunning(callId: string): boolean;
}

/** What the entry side of the data path depends on. @public */
export interface EntryPorts {
  readonly config: ConfigPort;
  readonly versions: VersionChooser;
  readonly instances: InstanceChooser;
  readonly retries: RetryBudget;
  /** Shared with the serving side of this node. */
  readonly ledger: RetryAllowances;
  readonly claims: ClaimsPort;
  readonly bus: Pick<PeerBus, 'openStream'>;
  readonly serving: LocalServing;
  readonly observer: CallObserver;
  readonly protocol: CallProtocol;
  /** Starts the calls; shared by both sides. Default: one for each. */
  readonly scheduler?: CallScheduler;
  /** Turns calls away that the instances would refuse. Default: none is. */
  readonly throttle?: AdaptiveThrottle;
  /** Notes long waits; default: they are not noted. */
  readonly waits?: CallWaits;
  /** Divides the calls of a route over its services. */
  readonly random: RandomSource;
  readonly invariants: Invariants;
}

import {INVARIANT_CODES, hashToUnit} from '@verbenabeam/core';
import type {Invariants} from '@verbenabeam/core';
import type {CallOutcome} from './call-outcome.js';
import type {Evidence} from './evidence.js';
import {EvidenceRecorder} from './evidence-recorder.js';
import {MoveAnalyzer} from './move-analyzer.js';
import type {AnalyzerOptions} from './move-analyzer.js';
import {MOVE_STATES, isTerminal, mergeRecords} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import {StopSet} from './move-stop.js';
import type {MoveStop} from './move-stop.js';

/** Whether a version of the service has a ready instance. @public */
export type IsReady = (version: string) => boolean;

/** Options of a {@link TrafficSplitter}. @public */
export interface TrafficSplitterOptions {
  readonly nodeId: string;
  readonly invariants: Invariants;
  /**
   * Options of the local tests of a move; null disables local stops for it.
   */
  readonly analyzerOptions: (record: MoveRecord) => AnalyzerOptions | null;
}

/** Output of a splitter, once a second. @public */
export interface SplitterFlush {
  /** Evidence for the parent node in the evidence tree. */
  readonly evidence: readonly Evidence[];
  /** Stops that this node has just decided; sent as `move.stop` messages. */
  readonly stops: readonly MoveStop[];
}

interface ActiveMove {
  record: MoveRecord;
  readonly recorder: EvidenceRecorder;
  readonly analyzer: MoveAnalyzer | null;
}

/**
 * Splits the calls of an entry node between the versions of a move. It chooses
 * the upstream version of each call, counts the outcomes, and stops a bad
 * version on the evidence of this node alone.
 *
 * @public
 */
export class TrafficSplitter {
  readonly #options: TrafficSplitterOptions;
  readonly #stops = new StopSet();
  /** Moves by move id. */
  readonly #moves = new Map<string, ActiveMove>();
  /** The move that applies to a service, by service name. */
  readonly #byService = new Map<string, ActiveMove>();

  constructor(options: TrafficSplitterOptions) {
    this.#options = options;
  }

  /** Merges a record from the store or a peer; true when the record changed. */
  mergeRecord(record: MoveRecord): boolean {
    const active = this.#moves.get(record.moveId);
    if (!active) {
      this.#addMove(record);
      return true;
    }
    const merged = mergeRecords(active.record, record);
    if (merged === active.record) return false;
    active.record = merged;
    return true;
  }

  /**
   * Merges stops of other nodes and returns those that are new to this node.
   */
  mergeStops(stops: readonly MoveStop[]): MoveStop[] {
    return this.#stops.merge(stops);
  }

  /** Removes a move that the document no longer contains. */
  forget(moveId: string): void {
    const active = this.#moves.get(moveId);
    if (!active) return;
    this.#moves.delete(moveId);
    const {service} = active.record;
    if (this.#byService.get(service) === active)
      this.#byService.delete(service);
  }

  /** All stops that this node knows, for probes and pushes. */
  stops(): MoveStop[] {
    return this.#stops.list();
  }

  /** All records that this node knows. */
  records(): MoveRecord[] {
    return [...this.#moves.values()].map(m => m.record);
  }

  /**
   * Chooses the upstream version of a call. A call id maps to the same version
   * until the share changes, so retries go to the same version. A call that was
   * queued before the change chooses again before it is sent.
   *
   * @param current - The version in the document, used when the service has no
   *   move.
   */
  choose(
    service: string,
    callId: string,
    current: string,
    isReady: IsReady,
  ): string {
    const active = this.#byService.get(service);
    if (!active) return current;
    const {record} = active;
    const wanted = hashToUnit(callId) < this.#share(record);
    // Without a ready instance of the new version, the call goes to the old
    // version, which may still have one.
    return wanted && isReady(record.to) ? record.to : record.from;
  }

  /**
   * Called when a call is sent to an upstream. Checks invariant 9004.
   */
  onSent(service: string, version: string): void {
    const active = this.#byService.get(service);
    if (!active || version !== active.record.to) return;
    const {moveId} = active.record;
    this.#options.invariants.check(
      INVARIANT_CODES.trafficAfterStop,
      this.#share(active.record) > 0,
      {moveId, service, version},
    );
  }

  /** Counts a finished call. */
  record(outcome: CallOutcome): void {
    const active = this.#byService.get(outcome.service);
    if (active?.record.state !== MOVE_STATES.running) return;
    active.recorder.add(outcome, active.record);
  }

  /** Takes the evidence and runs the local tests. Called once a second. */
  flush(now: number, wallTime: number): SplitterFlush {
    const evidence: Evidence[] = [];
    const stops: MoveStop[] = [];
    for (const active of this.#byService.values()) {
      const taken = active.recorder.take(active.record);
      if (!taken) continue;
      evidence.push(taken);
      const stop = this.#analyze(active, taken, now, wallTime);
      if (stop) stops.push(stop);
    }
    return {evidence, stops};
  }

  #analyze(
    active: ActiveMove,
    evidence: Evidence,
    now: number,
    wallTime: number,
  ): MoveStop | null {
    const {analyzer, record} = active;
    if (!analyzer || this.#stops.has(record.moveId)) return null;
    // Only the controller attributes crashes, because it has the reports of all
    // nodes. A node that saw only other requests on the crashed instance would
    // attribute the crash to the version.
    analyzer.add({...evidence, crashes: []}, record.share, now);
    const verdict = analyzer.verdict();
    if (verdict.kind !== 'stop') return null;
    const stop: MoveStop = {
      moveId: record.moveId,
      step: record.step,
      reason: verdict.reason,
      decidedBy: this.#options.nodeId,
      decidedAt: wallTime,
    };
    this.#stops.add(stop);
    return stop;
  }

  /**
   * Share of the new version. The stored decision takes precedence over a late
   * stop.
   */
  #share(record: MoveRecord): number {
    if (record.state === MOVE_STATES.done) return 1;
    if (record.state !== MOVE_STATES.running) return 0;
    return this.#stops.has(record.moveId) ? 0 : record.share;
  }

  #addMove(record: MoveRecord): void {
    const analyzerOptions = this.#options.analyzerOptions(record);
    const active: ActiveMove = {
      record,
      recorder: new EvidenceRecorder(),
      analyzer: analyzerOptions ? new MoveAnalyzer(analyzerOptions) : null,
    };
    this.#moves.set(record.moveId, active);
    const other = this.#byService.get(record.service)?.record;
    // A document has one move per service at a time. Records of earlier moves
    // are final, and the latest final record determines the version.
    const isCurrent =
      !other ||
      !isTerminal(record) ||
      (isTerminal(other) && record.changedAt >= other.changedAt);
    if (isCurrent) this.#byService.set(record.service, active);
  }
}

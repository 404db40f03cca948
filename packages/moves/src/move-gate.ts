import {INVARIANT_CODES, hashToUnit} from '@verbenabeam/core';
import type {Invariants} from '@verbenabeam/core';
import type {CallOutcome} from './call-outcome.js';
import type {Evidence} from './evidence.js';
import {EvidenceRecorder} from './evidence-recorder.js';
import {MoveAnalyzer} from './move-judge.js';
import type {AnalyzerOptions} from './move-judge.js';
import {MOVE_STATES, isTerminal, mergeRecords} from './move-record.js';
import type {MoveRecord} from './move-record.js';
import {StopSet} from './move-stop.js';
import type {MoveStop} from './move-stop.js';

/** Whether a version of the service has a ready instance. @public */
export type IsReady = (version: string) => boolean;

/** Settings of a gate. @public */
export interface TrafficSplitterOptions {
  readonly nodeId: string;
  readonly invariants: Invariants;
  /**
   * Options of the local test of a move; null turns the local stop off for it.
   */
  readonly analyzerOptions: (record: MoveRecord) => AnalyzerOptions | null;
}

/** What a gate hands out once a second. @public */
export interface SplitterFlush {
  /** For the parent in the evidence tree. */
  readonly evidence: readonly Evidence[];
  /** Decided by this node now; to be spread as `move.stop`. */
  readonly stops: readonly MoveStop[];
}

interface ActiveMove {
  record: MoveRecord;
  readonly recorder: EvidenceRecorder;
  readonly judge: MoveAnalyzer | null;
}

/**
 * Entry side of version moves: chooses the upstream version of each call,
 * counts outcomes, and stops a bad version on its own evidence.
 *
 * @public
 */
export class TrafficSplitter {
  readonly #options: TrafficSplitterOptions;
  readonly #stops = new StopSet();
  /** By move id. */
  readonly #moves = new Map<string, ActiveMove>();
  /** The move that decides for a service, by service. */
  readonly #byService = new Map<string, ActiveMove>();

  constructor(options: TrafficSplitterOptions) {
    this.#options = options;
  }

  /** Merges a record of the store or of a peer; true when it changed. */
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

  /** Merges stops of other nodes; returns those that are new here. */
  mergeStops(stops: readonly MoveStop[]): MoveStop[] {
    return this.#stops.merge(stops);
  }

  /** Ends a move that the document no longer contains. */
  forget(moveId: string): void {
    const active = this.#moves.get(moveId);
    if (!active) return;
    this.#moves.delete(moveId);
    const {service} = active.record;
    if (this.#byService.get(service) === active)
      this.#byService.delete(service);
  }

  /** The stops known here, for probes and pushes. */
  stops(): MoveStop[] {
    return this.#stops.list();
  }

  /** The records known here. */
  records(): MoveRecord[] {
    return [...this.#moves.values()].map(m => m.record);
  }

  /**
   * Upstream version of a call. The same call id gives the same version until
   * the share changes, so retries stay with it. A call queued since then asks
   * again before it is sent.
   *
   * @param current - The version outside a move, from the document.
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
    // Without a ready instance of the new version the call goes back to the old
    // one, in which an instance may still be ready.
    return wanted && isReady(record.to) ? record.to : record.from;
  }

  /**
   * Called when a call leaves for an upstream. Checks invariant 9004.
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

  /** Called once a second: takes the evidence and runs the local tests. */
  flush(now: number, wallTime: number): SplitterFlush {
    const evidence: Evidence[] = [];
    const stops: MoveStop[] = [];
    for (const active of this.#byService.values()) {
      const taken = active.recorder.take(active.record);
      if (!taken) continue;
      evidence.push(taken);
      const stop = this.#judge(active, taken, now, wallTime);
      if (stop) stops.push(stop);
    }
    return {evidence, stops};
  }

  #judge(
    active: ActiveMove,
    evidence: Evidence,
    now: number,
    wallTime: number,
  ): MoveStop | null {
    const {judge, record} = active;
    if (!judge || this.#stops.has(record.moveId)) return null;
    // Crashes are judged where all reports of a crash meet: a node that saw
    // only bystanders of a crashing request would blame the version.
    judge.add({...evidence, crashes: []}, record.share, now);
    const verdict = judge.verdict();
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

  /** Share of the new version; the stored decision overrides a late stop. */
  #share(record: MoveRecord): number {
    if (record.state === MOVE_STATES.done) return 1;
    if (record.state !== MOVE_STATES.running) return 0;
    return this.#stops.has(record.moveId) ? 0 : record.share;
  }

  #addMove(record: MoveRecord): void {
    const judgeOptions = this.#options.analyzerOptions(record);
    const active: ActiveMove = {
      record,
      recorder: new EvidenceRecorder(),
      judge: judgeOptions ? new MoveAnalyzer(judgeOptions) : null,
    };
    this.#moves.set(record.moveId, active);
    const other = this.#byService.get(record.service)?.record;
    // A document plans one move per service at a time. Records of earlier moves
    // are decided, and the last decision gives the versions.
    const isCurrent =
      !other ||
      !isTerminal(record) ||
      (isTerminal(other) && record.changedAt >= other.changedAt);
    if (isCurrent) this.#byService.set(record.service, active);
  }
}

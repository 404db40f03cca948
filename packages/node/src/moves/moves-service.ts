import {logger} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import {TrafficSplitter, decodeRecord, isTerminal} from '@verbenabeam/moves';
import type {CallOutcome, ControllerOutput, MoveStop} from '@verbenabeam/moves';
import type {WatchEvent} from '@verbenabeam/store';
import {Result} from 'true-myth';
import {runPeriodically} from '../run-periodically.js';
import type {NodeContext} from '../node-context.js';
import {ControllerDriver} from './controller-driver.js';
import {EvidenceSender} from './evidence-sender.js';
import {EvidenceTotals} from './evidence-totals.js';
import {MOVE_KINDS, moveUpdateSchema, parseRecords} from './move-messages.js';
import type {MoveKnowledge} from './move-messages.js';
import {MoveSpreader} from './move-spreader.js';
import {MoveSync} from './move-sync.js';
import {PlannedMoves} from './planned-moves.js';

const flushMs = 1_000;
const syncMs = 2_000;
const log = logger('moves');

/** Options of {@link MovesService}. @internal */
export interface MovesServiceOptions extends NodeContext {
  readonly isRelay: () => boolean;
}

/**
 * Runs version moves on an entry node and shares move knowledge with peers.
 *
 * @internal
 */
export class MovesService {
  readonly gate: TrafficSplitter;
  /** Totals of the evidence of this node, shown to operators. */
  readonly totals = new EvidenceTotals();
  readonly #options: MovesServiceOptions;
  readonly #spreader: MoveSpreader;
  readonly #sender: EvidenceSender;
  readonly #controller: ControllerDriver;
  readonly #sync: MoveSync;
  readonly #planned: PlannedMoves;

  constructor(options: MovesServiceOptions) {
    this.#options = options;
    this.#planned = new PlannedMoves(options.membership);
    const {nodeId, environment} = options.membership.own;
    this.gate = new TrafficSplitter({
      nodeId,
      invariants: options.invariants,
      analyzerOptions: record => this.#planned.judgeOptions(record),
    });
    this.#spreader = new MoveSpreader(options);
    this.#controller = new ControllerDriver({
      ...options,
      nodeId,
      environment,
      capacityShare: (plan, load) => this.#planned.capacityShare(plan, load),
      onOutput: output => this.#onControllerOutput(output),
    });
    this.#sync = new MoveSync({
      ...options,
      merge: knowledge => this.#merge(knowledge),
    });
    this.#sender = new EvidenceSender({
      ...options,
      onArrived: evidence => this.#controller.addEvidence(evidence),
    });
  }

  /** False while a new node may lack the records of running moves. */
  get synced(): boolean {
    return this.#sync.done || !this.#planned.hasMoves;
  }

  start(): void {
    const {bus, signal, clock} = this.#options;
    bus.onNotice(MOVE_KINDS.update, body => this.#onUpdate(body));
    bus.onNotice(MOVE_KINDS.evidence, body =>
      this.#sender.receive(body, this.#controller.holdsLease),
    );
    bus.onNotice(MOVE_KINDS.rootEvidence, body =>
      this.#sender.receiveFromRoot(body, this.#controller.holdsLease),
    );
    bus.onNotice(MOVE_KINDS.controller, (_body, peer) =>
      this.#sender.controllerSeen(peer.nodeId, clock.now()),
    );
    bus.onRequest(MOVE_KINDS.sync, () =>
      Result.ok({...this.knowledge(), synced: this.synced}),
    );
    runPeriodically(flushMs, signal, () => this.#flush());
    runPeriodically(syncMs, signal, () => this.#syncIfPlanned());
  }

  /** Applies the planned moves of a new configuration version. */
  onApplied(snapshot: Snapshot): void {
    // Records of a move are created after the version that plans it. A node that
    // already had a version therefore receives all records of the new moves.
    if (this.#planned.isKnown) this.#sync.markDone();
    const {document} = snapshot;
    for (const id of this.#planned.replace(document)) {
      this.gate.forget(id);
      this.totals.forget(id);
    }
    this.#controller.onDocument(document);
    this.#syncIfPlanned();
  }

  /** Records and stops known to this node. */
  knowledge(): MoveKnowledge {
    return {records: this.gate.records(), stops: this.gate.stops()};
  }

  /** Merges move records that arrived with a configuration version. */
  onRecords(values: readonly unknown[]): void {
    this.#merge({records: parseRecords(values), stops: []});
  }

  /** Merges and distributes a move record that changed in the store. */
  onStoreEvent(event: WatchEvent): void {
    if (event.type !== 'put') return;
    const record = decodeRecord(event.entry.value);
    if (!record) return;
    const fresh = this.#merge({records: [record], stops: []});
    if (fresh.records.length > 0) this.#spreader.spread(fresh);
  }

  /** Records the outcome of a call. */
  record(outcome: CallOutcome): void {
    this.gate.record(outcome);
  }

  /**
   * Takes a move back for an operator; on this node, the move stops
   * immediately.
   */
  takeBack(moveId: string, operator: string): Result<MoveStop, MeshError> {
    const record = this.gate.records().find(row => row.moveId === moveId);
    if (!record || isTerminal(record)) {
      return this.#controller.requestTakeBack(moveId, operator);
    }
    const stop: MoveStop = {
      moveId,
      step: record.step,
      reason: `taken back by operator ${operator}`,
      decidedBy: operator,
      decidedAt: this.#options.clock.wallTime(),
    };
    this.#spreadFresh({records: [], stops: [stop]});
    return Result.ok(stop);
  }

  /** Releases the controller lease. */
  async stop(): Promise<void> {
    await this.#controller.close();
  }

  #syncIfPlanned(): void {
    if (this.#planned.hasMoves) void this.#sync.round();
  }

  #flush(): void {
    const {clock} = this.#options;
    const now = clock.now();
    const {evidence, stops} = this.gate.flush(now, clock.wallTime());
    this.totals.add(evidence);
    this.#sender.add(evidence);
    if (stops.length > 0) {
      log('Move stopped on own evidence.', {move: stops[0]?.moveId});
      this.#controller.addStops(stops);
      this.#spreader.spread({records: [], stops});
    }
    this.#sender.flush(this.#controller.holdsLease, now);
    this.#controller.addStops(this.gate.stops());
    void this.#controller.tick(now);
  }

  #onControllerOutput({holdsLease, records, stops}: ControllerOutput): void {
    if (records.length + stops.length > 0) this.#spreadFresh({records, stops});
    if (holdsLease) this.#announceController();
  }

  #announceController(): void {
    const {membership, bus} = this.#options;
    for (const row of membership.live()) {
      if (!row.relay || row.nodeId === membership.own.nodeId) continue;
      bus.notify(row.address, MOVE_KINDS.controller, null);
    }
  }

  #onUpdate(body: unknown): void {
    const parsed = moveUpdateSchema.safeParse(body);
    if (!parsed.success) return;
    const update = parsed.data;
    const {records, stops} = this.#merge(update);
    if (records.length + stops.length === 0) return;
    const {root} = update;
    this.#spreader.forward({root, records: [...records], stops: [...stops]});
  }

  #spreadFresh(knowledge: MoveKnowledge): void {
    this.#merge(knowledge);
    this.#spreader.spread(knowledge);
  }

  /** Merges knowledge and returns the part that was new. */
  #merge({records, stops}: MoveKnowledge): MoveKnowledge {
    const planned = records.filter(row => this.#planned.has(row));
    const freshRecords = planned.filter(row => this.gate.mergeRecord(row));
    const freshStops = this.gate.mergeStops(stops);
    if (freshStops.length > 0) this.#controller.addStops(freshStops);
    return {records: freshRecords, stops: freshStops};
  }
}

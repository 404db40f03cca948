import type {CompiledDocument} from '@verbenabeam/document';
import {MOVE_POLICIES, capacityShare, localAlphaPart} from '@verbenabeam/moves';
import type {
  AnalyzerOptions,
  LoadEstimate,
  MovePlan,
  MoveRecord,
} from '@verbenabeam/moves';
import type {MembershipService} from '../membership/membership-service.js';

/**
 * The planned moves of the active document. Computes the options of the local
 * tests and the capacity of the new version from the live nodes.
 *
 * @internal
 */
export class PlannedMoves {
  readonly #membership: MembershipService;
  #document: CompiledDocument | null = null;

  constructor(membership: MembershipService) {
    this.#membership = membership;
  }

  /** False until the first document is applied. */
  get isKnown(): boolean {
    return this.#document !== null;
  }

  /** True if the active document plans moves. */
  get hasMoves(): boolean {
    return (this.#document?.moves.length ?? 0) > 0;
  }

  /**
   * Replaces the document and returns the ids of the moves that were removed.
   */
  replace(document: CompiledDocument): string[] {
    const before = this.#document?.moves ?? [];
    this.#document = document;
    const ids = new Set(document.moves.map(move => move.id));
    return before.map(move => move.id).filter(id => !ids.has(id));
  }

  /**
   * True if the record belongs to a move of the active document. The store also
   * contains records of former moves, and a decided one would override the current
   * version that the document names.
   */
  has({moveId, service, from, to}: MoveRecord): boolean {
    const moves = this.#document?.moves ?? [];
    const move = moves.find(row => row.id === moveId);
    return (
      move?.service.name === service && move.from === from && move.to === to
    );
  }

  /** Options of the local test of a move; null if there is no document. */
  judgeOptions(record: MoveRecord): AnalyzerOptions | null {
    const document = this.#document;
    if (!document) return null;
    const routes = document.routes.filter(
      route => route.service.name === record.service,
    );
    return {
      policy: MOVE_POLICIES[document.strictness],
      routes: routes.length,
      alphaPart: localAlphaPart(this.#membership.live().length),
    };
  }

  /**
   * Maximum share of calls that the ready instances of the new version can
   * serve.
   */
  capacityShare(plan: MovePlan, load: LoadEstimate | null): number {
    const {service, from, to} = plan;
    const oldSlots = this.#readySlots(service, from);
    const newSlots = this.#readySlots(service, to);
    return capacityShare({oldSlots, newSlots, load});
  }

  #readySlots(service: string, version: string): number {
    const ready = this.#membership.candidates(service, version);
    return ready.reduce((sum, row) => sum + row.slots, 0);
  }
}

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
 * The moves of the active document, with what the live nodes add to them: the
 * options of the local tests, and the capacity of the new version.
 *
 * @internal
 */
export class PlannedMoves {
  readonly #membership: MembershipService;
  #document: CompiledDocument | null = null;

  constructor(membership: MembershipService) {
    this.#membership = membership;
  }

  /** False until the first document. */
  get isKnown(): boolean {
    return this.#document !== null;
  }

  /** True when the document plans a move. */
  get hasMoves(): boolean {
    return (this.#document?.moves.length ?? 0) > 0;
  }

  /** Takes over a document and returns the ids of the moves it lacks. */
  replace(document: CompiledDocument): string[] {
    const before = this.#document?.moves ?? [];
    this.#document = document;
    const ids = new Set(document.moves.map(move => move.id));
    return before.map(move => move.id).filter(id => !ids.has(id));
  }

  /**
   * True for a move of the active document. The store keeps the records of
   * former moves; a decided one would override the document's current version.
   */
  has({moveId, service, from, to}: MoveRecord): boolean {
    const moves = this.#document?.moves ?? [];
    const move = moves.find(row => row.id === moveId);
    return (
      move?.service.name === service && move.from === from && move.to === to
    );
  }

  /** Options of the local test of a move; null without a document. */
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

  /** Largest share that the ready instances of the new version carry. */
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

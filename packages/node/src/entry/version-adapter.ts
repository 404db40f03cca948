import type {Service, Snapshot} from '@verbenabeam/document';
import type {VersionChoice, VersionChooser} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';
import type {MovesService} from '../moves/moves-service.js';

/**
 * Chooses the upstream version of a call from the state of the moves.
 *
 * @internal
 */
export class VersionAdapter implements VersionChooser {
  readonly #moves: MovesService;
  readonly #membership: MembershipService;

  constructor(moves: MovesService, membership: MembershipService) {
    this.#moves = moves;
    this.#membership = membership;
  }

  choose(
    snapshot: Snapshot,
    service: Service,
    callId: string,
    exclude: ReadonlySet<string>,
  ): VersionChoice {
    const {name, current} = service;
    const version = this.#moves.gate.choose(name, callId, current, wanted =>
      this.#isReady(name, wanted, exclude),
    );
    const move = snapshot.document.moves.find(row => row.service === service);
    return {version, moveId: move?.id ?? null};
  }

  onSent(service: string, version: string): void {
    this.#moves.gate.onSent(service, version);
  }

  #isReady(
    service: string,
    version: string,
    exclude: ReadonlySet<string>,
  ): boolean {
    return this.#membership
      .candidates(service, version)
      .some(({nodeId}) => !exclude.has(nodeId));
  }
}

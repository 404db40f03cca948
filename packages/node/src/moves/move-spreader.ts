import {pushTargets} from '@verbenabeam/distribution';
import type {RandomSource} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import type {PeerBus} from '@verbenabeam/wire';
import type {MembershipService} from '../membership/membership-service.js';
import {MOVE_KINDS} from './move-messages.js';
import type {MoveKnowledge, MoveUpdate} from './move-messages.js';

/** Options of {@link MoveSpreader}. @internal */
export interface MoveSpreaderOptions {
  readonly membership: MembershipService;
  readonly bus: PeerBus;
  readonly random: RandomSource;
}

/** Sends move updates down the push trees of all data centres. @internal */
export class MoveSpreader {
  readonly #options: MoveSpreaderOptions;

  constructor(options: MoveSpreaderOptions) {
    this.#options = options;
  }

  /**
   * Distributes knowledge to all data centres, with this node as the root of the
   * tree of the local data centre.
   */
  spread(knowledge: MoveKnowledge): void {
    const {own} = this.#options.membership;
    this.forward({...copy(knowledge), root: own.nodeId});
    for (const to of this.#pickOnePerOtherDataCentre()) {
      this.#send(to, {...copy(knowledge), root: to.nodeId});
    }
  }

  /**
   * Forwards an update to the children of this node in the tree of the update.
   */
  forward(update: MoveUpdate): void {
    const {membership} = this.#options;
    const {nodeId, dataCentre} = membership.own;
    const local = this.#peers().filter(row => row.dataCentre === dataCentre);
    const ids = local.map(row => row.nodeId);
    const children = new Set(pushTargets(ids, update.root, nodeId));
    for (const row of local) {
      if (children.has(row.nodeId)) this.#send(row, update);
    }
  }

  /** Other live nodes of the same environment. */
  #peers(): readonly InstanceRecord[] {
    const {own} = this.#options.membership;
    return this.#options.membership
      .live()
      .filter(
        row => row.environment === own.environment && row.nodeId !== own.nodeId,
      );
  }

  #pickOnePerOtherDataCentre(): readonly InstanceRecord[] {
    const {membership, random} = this.#options;
    const remote = this.#peers().filter(
      row => row.dataCentre !== membership.own.dataCentre,
    );
    const centres = new Set(remote.map(row => row.dataCentre));
    return [...centres].map(centre => {
      const nodes = remote.filter(row => row.dataCentre === centre);
      const relays = nodes.filter(row => row.relay);
      return random.pick(relays.length > 0 ? relays : nodes);
    });
  }

  #send(to: InstanceRecord, update: MoveUpdate): void {
    this.#options.bus.notify(to.address, MOVE_KINDS.update, update);
  }
}

function copy({records, stops}: MoveKnowledge) {
  return {records: [...records], stops: [...stops]};
}

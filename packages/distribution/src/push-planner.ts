import type {RandomSource} from '@verbenabeam/core';
import {NODE_STATES} from '@verbenabeam/membership';
import type {InstanceRecord} from '@verbenabeam/membership';
import type {Effect} from './effect.js';
import type {VersionContent} from './messages/config-content.js';
import type {ConfigPush} from './messages/config-push.js';
import {PUSH_FANOUT, pushTargets} from './push-tree.js';

/** The parts of an instance record that pushes need. @public */
export type PushMember = Pick<
  InstanceRecord,
  'nodeId' | 'dataCentre' | 'environment' | 'state' | 'relay'
>;

/** Options of a {@link PushPlanner}. @public */
export interface PushPlannerOptions {
  readonly self: Pick<PushMember, 'nodeId' | 'dataCentre' | 'environment'>;
  /** The node's present view of the instance table. */
  readonly members: () => readonly PushMember[];
  /** Move records to send along. Default none. */
  readonly moves?: () => readonly unknown[];
  /** Default {@link PUSH_FANOUT}. */
  readonly fanout?: number;
}

/** Decides who gets a push from this node. @public */
export class PushPlanner {
  readonly #options: PushPlannerOptions;

  constructor(options: PushPlannerOptions) {
    this.#options = options;
  }

  /** Node ids of all other live members of the environment. */
  get peers(): readonly string[] {
    return this.#live().map(row => row.nodeId);
  }

  /** Pushes to the children of a tree with this node as its root. */
  toTree(value: VersionContent): readonly Effect[] {
    const root = this.#options.self.nodeId;
    return this.forward({...value, root, moves: this.#moves()});
  }

  /** Passes a push on to the children in its tree. */
  forward(push: ConfigPush): readonly Effect[] {
    const {self, fanout = PUSH_FANOUT} = this.#options;
    const local = this.#live()
      .filter(row => row.dataCentre === self.dataCentre)
      .map(row => row.nodeId);
    return pushTargets(local, push.root, self.nodeId, fanout).map(to => ({
      type: 'push',
      to,
      message: push,
    }));
  }

  /** Sends one push to a relay, or to any node, of each other data centre. */
  toOtherCentres(
    value: VersionContent,
    random: RandomSource,
  ): readonly Effect[] {
    const remote = this.#live().filter(
      row => row.dataCentre !== this.#options.self.dataCentre,
    );
    const centres = [...new Set(remote.map(row => row.dataCentre))];
    return centres.map(centre => {
      const nodes = remote.filter(row => row.dataCentre === centre);
      const relays = nodes.filter(row => row.relay);
      const to = random.pick(relays.length > 0 ? relays : nodes).nodeId;
      return {
        type: 'push',
        to,
        message: {...value, root: to, moves: this.#moves()},
      };
    });
  }

  #live(): readonly PushMember[] {
    const {self, members} = this.#options;
    return members().filter(
      row =>
        row.nodeId !== self.nodeId &&
        row.environment === self.environment &&
        (row.state === NODE_STATES.alive || row.state === NODE_STATES.suspect),
    );
  }

  #moves(): unknown[] {
    return [...(this.#options.moves?.() ?? [])];
  }
}

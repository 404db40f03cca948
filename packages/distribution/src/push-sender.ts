import type {RandomSource} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import type {Effect} from './effect.js';
import type {ConfigPush} from './messages/config-push.js';
import type {PushPlanner} from './push-planner.js';
import type {RecentVersions} from './recent-versions.js';

/** Sends versions down the push trees; each push only once. @internal */
export class PushSender {
  readonly #planner: PushPlanner;
  readonly #recent: RecentVersions;
  readonly #random: RandomSource;
  /** Version, hash and root of each push that was forwarded. */
  #forwarded = new Set<string>();

  constructor(
    planner: PushPlanner,
    recent: RecentVersions,
    random: RandomSource,
  ) {
    this.#planner = planner;
    this.#recent = recent;
    this.#random = random;
  }

  /** Forwards a push once for each root. */
  forward(push: ConfigPush): readonly Effect[] {
    const key = `${push.version}/${push.hash}/${push.root}`;
    if (this.#forwarded.has(key)) return [];
    this.#forwarded.add(key);
    return this.#planner.forward(push);
  }

  /** Starts a push tree at this node. */
  asRoot(snapshot: Snapshot): readonly Effect[] {
    return this.#planner.toTree(this.#recent.describeForPush(snapshot));
  }

  /** Starts a push tree in each other data centre. */
  toOtherCentres(snapshot: Snapshot): readonly Effect[] {
    const value = this.#recent.describeForPush(snapshot);
    return this.#planner.toOtherCentres(value, this.#random);
  }

  /**
   * Forgets pushes of other versions. Those of this one stay, because a large
   * push is forwarded before its version becomes active.
   */
  onActive(version: number): void {
    const prefix = `${version}/`;
    const current = [...this.#forwarded].filter(key => key.startsWith(prefix));
    this.#forwarded = new Set(current);
  }
}

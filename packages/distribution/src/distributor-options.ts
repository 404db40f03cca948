import type {RandomSource} from '@verbenabeam/core';
import type {FullTextCap} from './full-text-cap.js';
import type {ConfigDigest} from './messages/config-digest.js';
import type {PushPlanner} from './push-planner.js';
import type {VersionTracker} from './version-tracker.js';

/** Parts and collaborators of a {@link Distributor}. @public */
export interface DistributorOptions {
  readonly tracker: VersionTracker;
  readonly planner: PushPlanner;
  readonly cap: FullTextCap;
  readonly random: RandomSource;
}

/** The highest version that a node knows of. @public */
export interface FleetView {
  readonly version: number;
  /** Hash of the active version. */
  readonly active: ConfigDigest;
}

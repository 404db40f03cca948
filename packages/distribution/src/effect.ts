import type {Snapshot} from '@verbenabeam/document';
import type {ConfigDigest} from './messages/config-digest.js';
import type {ConfigPullRequest} from './messages/config-pull.js';
import type {ConfigPush} from './messages/config-push.js';

/** What the driver must do after a step of the {@link Distributor}. @public */
export type Effect =
  | {readonly type: 'push'; readonly to: string; readonly message: ConfigPush}
  | {
      readonly type: 'pull';
      readonly to: string;
      readonly message: ConfigPullRequest;
    }
  /** Ask a peer for its digest. */
  | {
      readonly type: 'askDigest';
      readonly to: string;
      readonly message: ConfigDigest;
    }
  | {readonly type: 'readHead'}
  | {readonly type: 'readVersion'; readonly version: number}
  | {readonly type: 'applied'; readonly snapshot: Snapshot}
  | {readonly type: 'moves'; readonly moves: readonly unknown[]};

import type {GossipOptions} from '@verbenabeam/membership';

/**
 * Gossip settings for fleets of up to some hundred nodes. Members that restart or
 * rejoin after a partition must be known again within about a second.
 *
 * @internal
 */
export const hostedGossip: GossipOptions = {
  tablesPerSecond: 20,
  retryAfterMs: 200,
  reunionMs: 500,
  digestMs: 5_000,
  remoteShare: 0.25,
};

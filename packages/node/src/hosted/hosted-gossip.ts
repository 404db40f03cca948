import type {GossipOptions} from '@verbenabeam/membership';

/**
 * Gossip of fleets up to some hundred nodes: members that were cut off or
 * restarted must be known again within about a second.
 *
 * @internal
 */
export const hostedGossip: GossipOptions = {
  tablesPerSecond: 20,
  retryAfterMs: 200,
  reunionMs: 500,
  digestMs: 5_000,
};

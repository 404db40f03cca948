import {RetryBudget} from '@verbenabeam/routing';
import type {HostedBounds} from './hosted-settings.js';

/** Fraction of the platform's retry share that nodes use. */
const retryShareUsed = 0.7;
/** Fraction of the platform's retry minimum, divided among the live nodes as bursts. */
const retryMinimumUsed = 0.7;

/** Creates the budget of a node's retries. @internal */
export function hostedRetryBudget(
  bounds: () => HostedBounds,
  liveNodes: () => number,
): RetryBudget {
  return new RetryBudget({
    share: bounds().retryShare * retryShareUsed,
    // The platform's share is one of the calls from outside.
    subCallShare: 0,
    burst: () => {
      const nodes = Math.max(1, liveNodes());
      return (bounds().retryMinimum * retryMinimumUsed) / nodes;
    },
  });
}

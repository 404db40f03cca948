import type {RandomSource} from '@verbenabeam/core';
import type {Route, Service} from '@verbenabeam/document';

/** Picks a service of the route at random, in proportion to the weights. @internal */
export function chooseService(route: Route, random: RandomSource): Service {
  const {split} = route;
  if (!split) return route.service;
  const total = split.reduce((sum, part) => sum + part.weight, 0);
  let remaining = random.float() * total;
  for (const {service, weight} of split) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.service;
}

/** Retries that the route's limit on attempts allows. @internal */
export function maxRetriesOf({maxAttempts}: Route): number {
  return maxAttempts === undefined ? Infinity : Math.max(0, maxAttempts - 1);
}

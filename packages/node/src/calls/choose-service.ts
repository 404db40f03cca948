import type {RandomSource} from '@verbenabeam/core';
import type {Route, Service} from '@verbenabeam/document';

/** Divides the calls of a route over its services by weight. @internal */
export function chooseService(route: Route, random: RandomSource): Service {
  const {split} = route;
  if (!split) return route.service;
  const total = split.reduce((sum, part) => sum + part.weight, 0);
  let left = random.float() * total;
  for (const {service, weight} of split) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.service;
}

/** Retries that the route's limit on attempts leaves. @internal */
export function maxRetriesOf({maxAttempts}: Route): number {
  return maxAttempts === undefined ? Infinity : Math.max(0, maxAttempts - 1);
}

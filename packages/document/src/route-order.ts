import type {Route} from './snapshot.js';

/**
 * Orders routes from most to least specific: a named host first, then the
 * longer path prefix, then named methods, then the name.
 *
 * @internal
 */
export function compareRoutes(a: Route, b: Route): number {
  return (
    Number(a.host === null) - Number(b.host === null) ||
    b.pathPrefix.length - a.pathPrefix.length ||
    Number(a.methods === null) - Number(b.methods === null) ||
    (a.name < b.name ? -1 : 1)
  );
}

import type {CompiledDocument, Route, Snapshot} from './snapshot.js';
import {finish} from './turns.js';
import type {Turns} from './turns.js';

/** The parts of a request that decide its route. @public */
export interface RouteQuery {
  /** Host header, with or without a port. */
  readonly host: string;
  /** Path of the request, with or without a query. */
  readonly path: string;
  readonly method: string;
}

type RoutesByPrefix = Map<string, Route[]>;

interface RouteIndex {
  readonly byHost: ReadonlyMap<string | null, RoutesByPrefix>;
  readonly longestPrefix: number;
}

/** So many routes are indexed in about 5 ms. */
const routesPerTurn = 1_000;
const indexes = new WeakMap<CompiledDocument, RouteIndex>();
const slash = '/';

/**
 * Returns the most specific route of a request, or null. A prefix matches whole
 * path segments: `/files` matches `/files/7` but not `/filesystem`.
 *
 * @public
 */
export function findRoute(
  snapshot: Pick<Snapshot, 'document'>,
  query: RouteQuery,
): Route | null {
  const index = indexOf(snapshot.document);
  const path = pathOnly(query.path);
  const {method} = query;
  const ownHost = index.byHost.get(hostOnly(query.host));
  const anyHost = index.byHost.get(null);
  return (
    findByPath(ownHost, path, method, index.longestPrefix) ??
    findByPath(anyHost, path, method, index.longestPrefix)
  );
}

/** Tries the prefixes of the path from the longest to the shortest. */
function findByPath(
  routes: RoutesByPrefix | undefined,
  path: string,
  method: string,
  longestPrefix: number,
): Route | null {
  if (!routes) return null;
  // Bounds the work for long paths with many segments.
  const start = Math.min(path.length, longestPrefix);
  for (let end = start; end > 0; end--) {
    const endsSegment = end === path.length || path[end] === slash;
    if (!endsSegment && path[end - 1] !== slash) continue;
    const route = firstWithMethod(routes.get(path.slice(0, end)), method);
    if (route) return route;
  }
  return null;
}

function firstWithMethod(
  routes: readonly Route[] | undefined,
  method: string,
): Route | null {
  if (!routes) return null;
  const accepts = (route: Route) => route.methods?.includes(method) ?? true;
  return routes.find(accepts) ?? null;
}

/**
 * Builds the index of a document ahead of its first request, which would
 * otherwise wait for it.
 *
 * @internal
 */
export function* indexRoutes(doc: CompiledDocument): Turns<void> {
  if (!indexes.has(doc)) indexes.set(doc, yield* buildIndex(doc.routes));
}

/** Documents that were not compiled here have no index yet. */
function indexOf(doc: CompiledDocument): RouteIndex {
  const known = indexes.get(doc);
  if (known) return known;
  const index = finish(buildIndex(doc.routes));
  indexes.set(doc, index);
  return index;
}

/** Keeps the order of the routes within each prefix. */
function* buildIndex(routes: readonly Route[]): Turns<RouteIndex> {
  const byHost = new Map<string | null, RoutesByPrefix>();
  let longestPrefix = 0;
  for (const [i, route] of routes.entries()) {
    const prefixes: RoutesByPrefix = byHost.get(route.host) ?? new Map();
    const same = prefixes.get(route.pathPrefix) ?? [];
    same.push(route);
    prefixes.set(route.pathPrefix, same);
    byHost.set(route.host, prefixes);
    longestPrefix = Math.max(longestPrefix, route.pathPrefix.length);
    if ((i + 1) % routesPerTurn === 0) yield;
  }
  return {byHost, longestPrefix};
}

function pathOnly(path: string): string {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}

function hostOnly(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '');
}

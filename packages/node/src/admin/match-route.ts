import type {AdminRoute} from './admin-route.js';

/** A matching route and its path parameters. */
export interface RouteMatch {
  readonly route: AdminRoute;
  readonly params: Readonly<Record<string, string>>;
}

/** Returns the first route that matches a request, or null. */
export function matchRoute(
  routes: readonly AdminRoute[],
  method: string,
  path: string,
): RouteMatch | null {
  for (const route of routes) {
    if (route.method !== method) continue;
    const params = matchPath(route.path, path);
    if (params !== null) return {route, params};
  }
  return null;
}

function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | null {
  const expected = pattern.split('/');
  const given = path.split('/');
  if (expected.length !== given.length) return null;
  const params: Record<string, string> = {};
  for (const [index, part] of expected.entries()) {
    const value = given[index] ?? '';
    if (!part.startsWith(':')) {
      if (part !== value) return null;
      continue;
    }
    const decoded = decode(value);
    if (decoded === null) return null;
    params[part.slice(1)] = decoded;
  }
  return params;
}

function decode(value: string): string | null {
  try {
    return decodeURIComponent(value);
  } catch {
    return null;
  }
}

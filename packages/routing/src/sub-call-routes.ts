/** Calls of a route that are counted before it is judged. */
const minCalls = 40;
/** Counts are halved here, so that a changed use of a route shows. */
const maxCalls = 400;
/** Share of the calls that may come from elsewhere. */
const strayShare = 0.02;

interface Callers {
  total: number;
  readonly byService: Map<string, number>;
}

/**
 * Tells the routes that upstreams use for the calls they run from those of
 * outside callers, who enter at the nodes of every service: calls that come
 * from the nodes of one other service only are made by its upstreams.
 *
 * @public
 */
export class SubCallRoutes {
  readonly #callers = new Map<string, Callers>();

  /** Counts a call that entered at a node of the given service. */
  record(route: string, service: string): void {
    const known = this.#callers.get(route) ?? {
      total: 0,
      byService: new Map<string, number>(),
    };
    this.#callers.set(route, known);
    known.total++;
    known.byService.set(service, (known.byService.get(service) ?? 0) + 1);
    if (known.total >= maxCalls) halve(known);
  }

  /** Whether the calls of the route are made by upstreams. */
  isSubCall(route: string): boolean {
    const known = this.#callers.get(route);
    if (!known || known.total < minCalls) return false;
    const most = Math.max(...known.byService.values());
    return known.total - most <= known.total * strayShare;
  }

  /** Forgets routes that the configuration no longer names. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#callers.keys()) {
      if (!routes.has(route)) this.#callers.delete(route);
    }
  }
}

function halve(callers: Callers): void {
  callers.total = 0;
  for (const [service, count] of callers.byService) {
    const half = Math.floor(count / 2);
    if (half === 0) callers.byService.delete(service);
    else callers.byService.set(service, half);
    callers.total += half;
  }
}

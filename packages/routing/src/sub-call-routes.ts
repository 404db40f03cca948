/** Calls needed before a route is classified. */
const minCalls = 40;
/** Counts are halved at this total, so that new calls outweigh old ones. */
const maxCalls = 400;
/** Share of the calls that may come from other services. */
const maxOtherShare = 0.02;

interface Callers {
  total: number;
  readonly byService: Map<string, number>;
}

/**
 * Detects routes that only upstreams call, as sub-calls of the calls they run.
 * Outside callers enter at the nodes of every service. If nearly all calls of a
 * route enter at the nodes of one service, its upstreams make these calls.
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

  /** Whether upstreams make the calls of the route. */
  isSubCall(route: string): boolean {
    const known = this.#callers.get(route);
    if (!known || known.total < minCalls) return false;
    const most = Math.max(...known.byService.values());
    return known.total - most <= known.total * maxOtherShare;
  }

  /** Drops routes that are no longer in the configuration. */
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

/** Calls of a route that are counted before its deadlines are known. */
const minCalls = 40;
/** Counts are halved here, so that changed callers show. */
const maxCalls = 400;
/** Share of the calls of a route that send exactly this time limit. */
const usualShare = 0.05;

interface Counts {
  total: number;
  readonly byDeadline: Map<number, number>;
}

/**
 * Tells how long a caller has waited before it came. Load pattern: an overload
 * in which refused callers return. They send what is left of their time limit,
 * so that a call which can no longer be on time looks like one that can, and
 * takes its slot. Callers that start send one of few time limits, which many
 * calls have in common; a time limit that few calls have is the rest of the next
 * longer one of these.
 *
 * @public
 */
export class UsualDeadlines {
  readonly #counts = new Map<string, Counts>();

  /**
   * Counts a call and returns the time that its caller has waited, in ms; 0 if
   * that is not known.
   */
  waitedMs(route: string, deadlineMs: number): number {
    const limitMs = Math.round(deadlineMs);
    const counts = this.#countsOf(route);
    counts.total++;
    counts.byDeadline.set(limitMs, (counts.byDeadline.get(limitMs) ?? 0) + 1);
    if (counts.total >= maxCalls) halve(counts);
    if (counts.total < minCalls) return 0;
    const least = counts.total * usualShare;
    let usual = Infinity;
    for (const [ms, count] of counts.byDeadline) {
      if (count >= least && ms >= limitMs && ms < usual) usual = ms;
    }
    return usual === Infinity ? 0 : usual - limitMs;
  }

  /** Forgets routes that the configuration no longer names. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#counts.keys()) {
      if (!routes.has(route)) this.#counts.delete(route);
    }
  }

  #countsOf(route: string): Counts {
    const known = this.#counts.get(route);
    if (known) return known;
    const created: Counts = {total: 0, byDeadline: new Map()};
    this.#counts.set(route, created);
    return created;
  }
}

function halve(counts: Counts): void {
  counts.total = 0;
  for (const [ms, count] of counts.byDeadline) {
    const half = Math.floor(count / 2);
    if (half === 0) counts.byDeadline.delete(ms);
    else counts.byDeadline.set(ms, half);
    counts.total += half;
  }
}

import {quantileSorted} from 'd3-array';

/** Calls by what became of them. @public */
export interface Counts {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  failed: number;
}

/** Figures of one route. @public */
export interface RouteFigures extends Counts {
  /** Time to the answer of those that were answered, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Wait for a slot of those that got one, in ms. */
  readonly waitP99Ms: number;
}

/** Figures of one span of the day, by the calls that began in it. @public */
export interface WindowFigures extends Counts {
  readonly fromS: number;
  /** Used share of the upstreams' slots. */
  slots: number;
  /** Used share of the nodes' processor time. */
  processor: number;
}

interface Route {
  readonly counts: Counts;
  readonly tookMs: number[];
  readonly waitedMs: number[];
}

/** Outcome of a caller. @internal */
export type CallerOutcome = Exclude<keyof Counts, 'asked'>;

/** Counts what became of the callers of a run. @internal */
export class Tally {
  readonly windows: WindowFigures[] = [];
  readonly #routes = new Map<string, Route>();
  readonly #windowMs: number;

  constructor(routes: readonly string[], seconds: number, windowS: number) {
    for (const route of routes) {
      this.#routes.set(route, {counts: empty(), tookMs: [], waitedMs: []});
    }
    this.#windowMs = windowS * 1_000;
    for (let fromS = 0; fromS < seconds; fromS += windowS) {
      this.windows.push({fromS, ...empty(), slots: 0, processor: 0});
    }
  }

  asked(route: string, at: number): void {
    for (const counts of this.#countsOf(route, at)) counts.asked++;
  }

  /** @param tookMs - From the first attempt to the answer. */
  ended(
    route: string,
    askedAt: number,
    outcome: CallerOutcome,
    tookMs: number,
  ): void {
    for (const counts of this.#countsOf(route, askedAt)) counts[outcome]++;
    const isAnswered = outcome === 'onTime' || outcome === 'late';
    if (isAnswered) this.#routes.get(route)?.tookMs.push(tookMs);
  }

  waited(route: string, ms: number): void {
    this.#routes.get(route)?.waitedMs.push(ms);
  }

  routes(): Readonly<Record<string, RouteFigures>> {
    return Object.fromEntries(
      [...this.#routes].map(([route, {counts, tookMs, waitedMs}]) => {
        const took = tookMs.sort((a, b) => a - b);
        const waited = waitedMs.sort((a, b) => a - b);
        return [
          route,
          {
            ...counts,
            p50Ms: quantileSorted(took, 0.5) ?? 0,
            p99Ms: quantileSorted(took, 0.99) ?? 0,
            waitP99Ms: quantileSorted(waited, 0.99) ?? 0,
          },
        ];
      }),
    );
  }

  #countsOf(route: string, at: number): Counts[] {
    const known = this.#routes.get(route)?.counts;
    const window = this.windows[Math.floor(at / this.#windowMs)];
    return [known, window].filter(counts => counts !== undefined);
  }
}

function empty(): Counts {
  return {asked: 0, onTime: 0, late: 0, refused: 0, failed: 0};
}

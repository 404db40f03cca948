import type {RandomSource} from '@verbenabeam/core';

/** What a fault does to a request. @public */
export const FAULT_KINDS = {error: 'error', slow: 'slow'} as const;

/** One of the values of {@link FAULT_KINDS}. @public */
export type FaultKind = (typeof FAULT_KINDS)[keyof typeof FAULT_KINDS];

/** When a fault acts. @public */
export const FAULT_STARTS = {
  atOnce: 'at-once',
  later: 'later',
  underLoad: 'under-load',
  route: 'route',
} as const;

/** One of the values of {@link FAULT_STARTS}. @public */
export type FaultStart = (typeof FAULT_STARTS)[keyof typeof FAULT_STARTS];

/** A fault of an upstream version. @public */
export interface Fault {
  readonly kind: FaultKind;
  readonly start: FaultStart;
  /** Share of the matching requests, 0 to 1. Default 1. */
  readonly share?: number;
  /** For `later`: time after the start of the process in ms. Default 10,000. */
  readonly afterMs?: number;
  /** For `under-load`: share of slots in use from which it acts. Default 0.5. */
  readonly loadShare?: number;
  /** For `route`: prefix of the path. Default `/`. */
  readonly pathPrefix?: string;
  /** For `slow`: added service time in ms. Default 200. */
  readonly slowMs?: number;
}

/** What a fault's start depends on. @internal */
export interface FaultSituation {
  readonly ageMs: number;
  readonly usedShare: number;
  readonly path: string;
}

/** What the active faults do to one request. @internal */
export interface FaultEffect {
  readonly fails: boolean;
  readonly addedMs: number;
}

const defaults = {
  share: 1,
  afterMs: 10_000,
  loadShare: 0.5,
  pathPrefix: '/',
  slowMs: 200,
};

type FullFault = Required<Fault>;

const hasStarted: Readonly<
  Record<FaultStart, (fault: FullFault, now: FaultSituation) => boolean>
> = {
  'at-once': () => true,
  later: (fault, now) => now.ageMs >= fault.afterMs,
  'under-load': (fault, now) => now.usedShare >= fault.loadShare,
  route: (fault, now) => now.path.startsWith(fault.pathPrefix),
};

/** Combines the faults that act on one request. @internal */
export function faultEffect(
  faults: readonly Fault[],
  now: FaultSituation,
  rng: RandomSource,
): FaultEffect {
  let fails = false;
  let addedMs = 0;
  for (const given of faults) {
    const fault = {...defaults, ...given};
    if (!hasStarted[fault.start](fault, now)) continue;
    if (rng.float() >= fault.share) continue;
    if (fault.kind === FAULT_KINDS.error) fails = true;
    else addedMs += fault.slowMs;
  }
  return {fails, addedMs};
}

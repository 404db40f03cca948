/** Settings of `Gossip`; all times in milliseconds. @public */
export interface GossipOptions {
  /** Time between two probes of a node; default 1,000. */
  readonly probeMs?: number;
  /** Wait for an answer before indirect probes; default 400. */
  readonly answerMs?: number;
  /** Helpers of an indirect probe; default 3. */
  readonly helpers?: number;
  /** Updates on one probe; default 20. */
  readonly maxUpdates?: number;
  /** Shortest suspicion; default 3,000. */
  readonly minSuspicionMs?: number;
  /** Time between two exchanges of table digests; default 30,000. */
  readonly digestMs?: number;
  /** Time between two probes of a dead member; default 30,000. */
  readonly reunionMs?: number;
  /** Receivers to which a node passes an urgent update on; default 5. */
  readonly urgentFanOut?: number;
  /** Full tables served within one second; default 2. */
  readonly tablesPerSecond?: number;
  /** First wait of a joining node that met a busy seed; default 1,000. */
  readonly retryAfterMs?: number;
}

/** Default values of {@link GossipOptions}. @public */
export const GOSSIP_DEFAULTS: Required<GossipOptions> = {
  probeMs: 1000,
  answerMs: 400,
  helpers: 3,
  maxUpdates: 20,
  minSuspicionMs: 3000,
  digestMs: 30_000,
  reunionMs: 30_000,
  urgentFanOut: 5,
  tablesPerSecond: 2,
  retryAfterMs: 1000,
};

const suspicionPerDoublingMs = 750;
const sendsPerDoubling = 3;

/** Time in which a suspect may refute, for a table of the given size. @public */
export function suspicionMs(members: number, minMs: number): number {
  return Math.max(minMs, Math.log2(members + 1) * suspicionPerDoublingMs);
}

/** How often an update is sent by one node. @internal */
export function sendLimit(members: number): number {
  return Math.ceil(sendsPerDoubling * Math.log2(members + 2));
}

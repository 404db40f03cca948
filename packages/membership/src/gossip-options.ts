/** Options of `Gossip`; all times are in milliseconds. @public */
export interface GossipOptions {
  /** Interval at which a node sends probes; default 1,000. */
  readonly probeMs?: number;
  /**
   * Fraction of the probes that go to other data centres, between which bytes cost
   * more; default 1: all members are probed alike.
   */
  readonly remoteShare?: number;
  /** Time without an ack before indirect probes start; default 400. */
  readonly answerMs?: number;
  /** Number of peers asked for an indirect probe; default 3. */
  readonly helpers?: number;
  /** Most updates in one probe or ack; default 20. */
  readonly maxUpdates?: number;
  /** Shortest suspicion timeout; default 3,000. */
  readonly minSuspicionMs?: number;
  /** Average interval between digest exchanges; default 30,000. */
  readonly digestMs?: number;
  /** Interval between probes of dead members; default 30,000. */
  readonly reunionMs?: number;
  /** Number of peers to which a node forwards an urgent update; default 5. */
  readonly urgentFanOut?: number;
  /** Most full tables that a node serves in any second; default 2. */
  readonly tablesPerSecond?: number;
  /** Base delay of a join retry after a `busy` reply; default 1,000. */
  readonly retryAfterMs?: number;
}

/** Default values of {@link GossipOptions}. @public */
export const GOSSIP_DEFAULTS: Required<GossipOptions> = {
  probeMs: 1000,
  remoteShare: 1,
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

/** Suspicion timeout for a table with the given number of members. @public */
export function suspicionMs(members: number, minMs: number): number {
  return Math.max(minMs, Math.log2(members + 1) * suspicionPerDoublingMs);
}

/** Number of times that one node sends an update. @internal */
export function sendLimit(members: number): number {
  return Math.ceil(sendsPerDoubling * Math.log2(members + 2));
}

import * as z from 'zod';

/** Names that other parts of a day refer to. */
const name = z.string().min(1);
const ms = z.number().nonnegative();
const positive = z.number().positive();
const share = z.number().min(0).max(1);
const count = z.number().int().positive();

/** Kinds of trouble that a day may have. @public */
export const FAULT_KINDS = {
  /** `factor` times as many calls. */
  burst: 'burst',
  /** A share of the instances of `service` takes `factor` times as long. */
  slow: 'slow',
  /** A share of the instances of `service` is gone. */
  lost: 'lost',
  /** A share of all nodes is killed and starts again with cold code. */
  restart: 'restart',
} as const;

const nodes = z.strictObject({
  /** Part of a core that a node gets. */
  cores: positive,
  /** Processor time of a call at each of its two nodes, optimised code, in ms. */
  call_ms: positive,
  /** The same in a process that has just started. */
  cold_call_ms: positive,
  /** Calls after which half of the difference is gone. */
  warm_calls: positive.default(1_500),
  /** Processor time of a call that is refused where it arrives, in ms. */
  refusal_ms: positive,
  /** Time without a node in a restart, in ms. */
  start_ms: ms.default(1_000),
});

const service = z.strictObject({
  name,
  slots: count,
  /** Speeds of the instances in turn; 2 does the work in half of the time. */
  speeds: z.array(positive).min(1).default([1]),
});

const pool = z.strictObject({
  service: name,
  data_centre: name,
  count,
});

const kind = z.strictObject({
  route: name,
  service: name,
  /** Calls from outside; 0 for one that only upstreams make. */
  per_second: z.number().nonnegative(),
  /** Rank of the route; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Mean time in the upstream, in ms; times scatter evenly by `spread`. */
  work_ms: positive,
  spread: share.default(0.5),
  /** Time within which an answer is on time, in ms. */
  target_ms: positive,
  deadline_ms: positive,
  /** Times that a refused caller returns. */
  returns: z.number().int().nonnegative().default(1),
  /** Calls that its upstream makes one after the other, by chance of each. */
  calls: z
    .array(z.strictObject({route: name, times: count, chance: share}))
    .default([]),
});

const fault = z.strictObject({
  kind: z.enum(Object.values(FAULT_KINDS)),
  at_s: z.number().nonnegative(),
  for_s: positive.default(1),
  factor: positive.default(1),
  share: share.default(1),
  service: name.optional(),
});

/** Schema of a day file. @internal */
export const daySchema = z.strictObject({
  name,
  seed: z.number().int().nonnegative().default(1),
  seconds: positive,
  /** Length of a row of the time line, in s. */
  window_s: positive.default(2),
  /** One way between nodes of a data centre, and of two, in ms. */
  link_ms: ms.default(0.2),
  cross_link_ms: ms.default(1.4),
  /** One way between a caller and its node, in ms. */
  caller_link_ms: ms.default(3),
  nodes,
  services: z.array(service).min(1),
  instances: z.array(pool).min(1),
  kinds: z.array(kind).min(1),
  faults: z.array(fault).default([]),
});

/** A day as its file describes it. @public */
export type Day = z.infer<typeof daySchema>;

/** One kind of calls of a day. @public */
export type DayKind = Day['kinds'][number];

/** One trouble of a day. @public */
export type DayFault = Day['faults'][number];

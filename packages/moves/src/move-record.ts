import * as z from 'zod';

/** States of a move. `done` and `takenBack` are final. @public */
export const MOVE_STATES = {
  waiting: 'waiting',
  running: 'running',
  done: 'done',
  takenBack: 'takenBack',
} as const;

/** One of the values of {@link MOVE_STATES}. @public */
export type MoveState = (typeof MOVE_STATES)[keyof typeof MOVE_STATES];

/** Schema of a record from the store or a peer. @public */
export const moveRecordSchema = z.object({
  moveId: z.string().min(1),
  service: z.string().min(1),
  from: z.string().min(1),
  to: z.string().min(1),
  step: z.number().int().nonnegative(),
  share: z.number().min(0).max(1),
  reached: z.number().min(0).max(1),
  state: z.enum(MOVE_STATES),
  reason: z.string(),
  deadline: z.number(),
  decidedBy: z.string(),
  operationId: z.string(),
  changedAt: z.number(),
});

/**
 * The durable state of a move. `deadline` and `changedAt` are in milliseconds
 * since the Unix epoch. `share` is the fraction of calls sent to `to`, 0 to 1.
 * `reached` is the highest share so far; it may exceed `share` after a loss of
 * ready capacity. `reason` is text for operators. `decidedBy` is a node id or
 * the name of an operator.
 *
 * @public
 */
export type MoveRecord = Readonly<z.infer<typeof moveRecordSchema>>;

/** True when the record can no longer change. @public */
export function isTerminal(record: MoveRecord): boolean {
  return (
    record.state === MOVE_STATES.done || record.state === MOVE_STATES.takenBack
  );
}

/**
 * Merges two records of one move. A terminal record wins over a running one,
 * then the higher step wins. The operation id breaks ties, so every node keeps
 * the same record in any order of arrival.
 *
 * @public
 */
export function mergeRecords(a: MoveRecord, b: MoveRecord): MoveRecord {
  if (isTerminal(a) !== isTerminal(b)) return isTerminal(a) ? a : b;
  if (a.step !== b.step) return a.step > b.step ? a : b;
  return a.operationId >= b.operationId ? a : b;
}

/** Encodes a record for the store, as JSON. @public */
export function encodeRecord(record: MoveRecord): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record));
}

/**
 * Decodes a stored record; null when the bytes are not a valid record.
 *
 * @public
 */
export function decodeRecord(bytes: Uint8Array): MoveRecord | null {
  try {
    const value: unknown = JSON.parse(new TextDecoder().decode(bytes));
    return moveRecordSchema.safeParse(value).data ?? null;
  } catch {
    return null;
  }
}

import * as z from 'zod';

/** Schema of the message `move.stop`. @public */
export const moveStopSchema = z.object({
  moveId: z.string().min(1),
  step: z.number().int().nonnegative(),
  reason: z.string(),
  decidedBy: z.string(),
  decidedAt: z.number(),
});

/**
 * The message `move.stop`: all nodes stop sending calls to the new version.
 * `decidedAt` is in milliseconds since the Unix epoch.
 *
 * @public
 */
export type MoveStop = Readonly<z.infer<typeof moveStopSchema>>;

/** Parses a received stop; null when it is malformed. @public */
export function parseMoveStop(body: unknown): MoveStop | null {
  return moveStopSchema.safeParse(body).data ?? null;
}

/**
 * Grow-only set of stopped moves. Nodes may merge stops repeatedly and in any
 * order.
 *
 * @public
 */
export class StopSet {
  readonly #stops = new Map<string, MoveStop>();

  /** Adds a stop; false when the move already has one. */
  add(stop: MoveStop): boolean {
    if (this.#stops.has(stop.moveId)) return false;
    this.#stops.set(stop.moveId, stop);
    return true;
  }

  /** Adds stops of another node and returns those that are new to this set. */
  merge(stops: readonly MoveStop[]): MoveStop[] {
    return stops.filter(stop => this.add(stop));
  }

  has(moveId: string): boolean {
    return this.#stops.has(moveId);
  }

  get(moveId: string): MoveStop | undefined {
    return this.#stops.get(moveId);
  }

  /** All stops, for probes and pushes. */
  list(): MoveStop[] {
    return [...this.#stops.values()];
  }
}

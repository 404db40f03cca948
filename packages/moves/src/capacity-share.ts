/** Load of a service and the ready slots of its new version. @public */
export interface CapacityInput {
  readonly readySlots: number;
  readonly callsPerSecond: number;
  readonly serviceMs: number;
}

/** Part of the slots that a move may plan with. */
const usableSlots = 0.8;

/**
 * Largest share of the calls that the ready instances of the new version
 * carry, 0 to 1.
 *
 * @public
 */
export function capacityShare(input: CapacityInput): number {
  if (input.readySlots <= 0) return 0;
  const busySlots = (input.callsPerSecond * input.serviceMs) / 1000;
  if (busySlots === 0) return 1;
  return Math.min(1, (input.readySlots * usableSlots) / busySlots);
}

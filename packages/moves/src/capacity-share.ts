import type {LoadEstimate} from './service-load.js';

/** Load of a service and the ready slots of both versions. @public */
export interface CapacityInput {
  readonly oldSlots: number;
  readonly newSlots: number;
  /** Null while the load is unknown. */
  readonly load: LoadEstimate | null;
}

/** Fraction of the slots that a move may use. */
const maxSlotUtilization = 0.8;

/**
 * Largest share of the calls that the ready instances of the new version can
 * serve, 0 to 1. While the load is unknown, the slots of the old version are
 * used in its place, because they serve the calls so far.
 *
 * @public
 */
export function capacityShare(input: CapacityInput): number {
  const {oldSlots, newSlots, load} = input;
  if (newSlots <= 0) return 0;
  if (!load) return oldSlots <= 0 ? 1 : Math.min(1, newSlots / oldSlots);
  const busySlots = (load.callsPerSecond * load.serviceMs) / 1000;
  if (busySlots === 0) return 1;
  return Math.min(1, (newSlots * maxSlotUtilization) / busySlots);
}

import type {LoadEstimate} from './service-load.js';

/** Load of a service and the ready slots of both versions. @public */
export interface CapacityInput {
  readonly oldSlots: number;
  readonly newSlots: number;
  /** Null while it is not known. */
  readonly load: LoadEstimate | null;
}

/** Part of the slots that a move may plan with. */
const usableSlots = 0.8;

/**
 * Largest share of the calls that the ready instances of the new version
 * carry, 0 to 1. While the load is not known, the slots of the old version
 * stand for it, because they carry the service.
 *
 * @public
 */
export function capacityShare(input: CapacityInput): number {
  const {oldSlots, newSlots, load} = input;
  if (newSlots <= 0) return 0;
  if (!load) return oldSlots <= 0 ? 1 : Math.min(1, newSlots / oldSlots);
  const busySlots = (load.callsPerSecond * load.serviceMs) / 1000;
  if (busySlots === 0) return 1;
  return Math.min(1, (newSlots * usableSlots) / busySlots);
}

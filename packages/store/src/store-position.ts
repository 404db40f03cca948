/**
 * Place of a change in the order of everything that a store shows: by era, then by
 * revision. A store that comes back from a copy begins a new era and gives out its
 * revisions again. A store without eras is in era 0.
 *
 * @public
 */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
  /** Whether nodes keep this in place of what the store shows at the revision. */
  readonly isKept: boolean;
}

/** Highest era that a position holds. @public */
export const MAX_ERA = 4_095;
/** Highest revision that a position of an era above 0 holds. @public */
export const MAX_ERA_REVISION = 2 ** 40 - 1;

/** Numbers of one era; two for each revision. */
const eraSize = 2 ** 41;
const numbersPerRevision = 2;

/**
 * Returns a safe integer that orders as the position does. In era 0 it is the
 * revision itself.
 *
 * @public
 */
export function encodePosition(era: number, revision: number): number {
  if (era === 0) return revision;
  return era * eraSize + revision * numbersPerRevision;
}

/** @public */
export function decodePosition(position: number): StorePosition {
  const era = eraOf(position);
  if (era === 0) return {era, revision: position, isKept: false};
  const rest = position % eraSize;
  const revision = Math.floor(rest / numbersPerRevision);
  return {era, revision, isKept: rest % numbersPerRevision === 1};
}

/** @public */
export function eraOf(position: number): number {
  return Math.floor(position / eraSize);
}

/** Revision of the position, without its era. @public */
export function revisionOf(position: number): number {
  return decodePosition(position).revision;
}

/** Fields of a log line for a position; without an era only the revision. @public */
export function positionFields(position: number): {
  readonly revision: number;
  readonly era?: number;
} {
  const {era, revision} = decodePosition(position);
  return era === 0 ? {revision} : {revision, era};
}

/**
 * Position of what a node keeps from an earlier era: above what the store shows at
 * this position, and below its next change. Era 0 has none.
 *
 * @public
 */
export function keptPosition(position: number): number {
  const {era, isKept} = decodePosition(position);
  return era === 0 || isKept ? position : position + 1;
}

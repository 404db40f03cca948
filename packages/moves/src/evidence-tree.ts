import {mergeEvidence} from './evidence.js';
import type {Evidence} from './evidence.js';

/**
 * Maximum number of children per node in the push tree and in the evidence
 * tree.
 *
 * @public
 */
export const evidenceTreeFanOut = 8;

/**
 * Index of a node's parent in the rotated member list of the push tree; null
 * for the root.
 *
 * @public
 */
export function parentIndex(index: number): number | null {
  if (index === 0) return null;
  return Math.floor((index - 1) / evidenceTreeFanOut);
}

/**
 * Collects the evidence of this node and its children, and merges it into one
 * message per flush. Each message of a child is forwarded once.
 *
 * @public
 */
export class EvidenceAggregator {
  #parts: Evidence[] = [];

  add(parts: readonly Evidence[]): void {
    this.#parts.push(...parts);
  }

  /** Returns and clears the merged evidence, one item per move and step. */
  take(): Evidence[] {
    const merged = mergeEvidence(this.#parts);
    this.#parts = [];
    return merged;
  }
}

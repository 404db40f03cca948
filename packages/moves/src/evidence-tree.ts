import {mergeEvidence} from './evidence.js';
import type {Evidence} from './evidence.js';

/** Children of a node in the push tree, and so in the evidence tree. @public */
export const evidenceTreeFanOut = 8;

/**
 * Position of a node's parent in the rotated member list of the push tree;
 * null for the root.
 *
 * @public
 */
export function parentIndex(index: number): number | null {
  if (index === 0) return null;
  return Math.floor((index - 1) / evidenceTreeFanOut);
}

/**
 * Collects the evidence of the own node and of its children and hands on one
 * merged message per flush. A message of a child is handed on once.
 *
 * @public
 */
export class EvidenceAggregator {
  #parts: Evidence[] = [];

  add(parts: readonly Evidence[]): void {
    this.#parts.push(...parts);
  }

  /** Takes the merged evidence, one item per move and step. */
  take(): Evidence[] {
    const merged = mergeEvidence(this.#parts);
    this.#parts = [];
    return merged;
  }
}

import type {ResultCode} from './result-code.js';
import {MeshError} from './mesh-error.js';
import type {ErrorDetails} from './mesh-error.js';

/** Called once for each broken invariant. @public */
export type InvariantListener = (
  code: ResultCode,
  details: ErrorDetails,
) => void;

/**
 * Checks the guarantees of the system while it runs. A broken one is reported
 * to the listeners (metrics, log) and thrown when `VERBENABEAM_STRICT=1`.
 *
 * @public
 */
export class Invariants {
  readonly #listeners: InvariantListener[] = [];
  readonly #strict: boolean;

  constructor(strict = process.env['VERBENABEAM_STRICT'] === '1') {
    this.#strict = strict;
  }

  /** Adds a listener for broken invariants. */
  onBroken(listener: InvariantListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Reports `code` unless `holds`.
   *
   * @throws MeshError when strict and the invariant is broken.
   */
  check(code: ResultCode, holds: boolean, details: ErrorDetails = {}): void {
    if (holds) return;
    for (const listener of this.#listeners) listener(code, details);
    if (this.#strict) throw new MeshError(code, code.text, details);
  }
}

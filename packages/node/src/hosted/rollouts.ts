import type {RandomSource} from '@verbenabeam/core';
import type {KnownOrder} from './operator-records.js';

/** Version names of the ready instances of a service, with their number. */
export type ReadyVersions = ReadonlyMap<string, number>;

/** Moves the traffic of services to other upstream versions. @internal */
export class Rollouts {
  readonly #random: RandomSource;
  /** The version that a service had before others appeared. */
  readonly #usual = new Map<string, string>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Takes an operator's order. */
  onOrder(_known: KnownOrder): void {
    return;
  }

  /** Version for the next attempt; null if no instance is ready. */
  choose(
    service: string,
    versions: ReadyVersions,
    _isRetry: boolean,
  ): string | null {
    const usual = this.#usual.get(service);
    if (usual !== undefined && versions.has(usual)) return usual;
    const [best] = [...versions].sort(([, a], [, b]) => b - a);
    if (!best) return null;
    this.#usual.set(service, best[0]);
    return best[0];
  }

  onSent(_service: string, _version: string): void {
    return;
  }

  isStopped(_service: string, _version: string): boolean {
    return false;
  }
}

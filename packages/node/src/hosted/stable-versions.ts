import {ROLLOUT_STATES} from './operator-documents.js';
import type {RolloutRun} from './rollout-run.js';

/** Number of ready instances of a service by version name. */
export type ReadyVersions = ReadonlyMap<string, number>;

/**
 * Versions that get the calls not sent to a rollout's target version, by service.
 *
 * @internal
 */
export class StableVersions {
  readonly #versions = new Map<string, string>();

  /** The version that was chosen last, if any. */
  get(service: string): string | undefined {
    return this.#versions.get(service);
  }

  /** Chooses the version; null if none is ready. */
  choose(
    service: string,
    versions: ReadyVersions,
    run: RolloutRun | undefined,
  ): string | null {
    const isDone = run?.state === ROLLOUT_STATES.done;
    if (isDone) this.#versions.set(service, run.target);
    const stable = this.#versions.get(service);
    if (stable !== undefined && versions.has(stable)) return stable;
    const others = [...versions].filter(
      ([version]) => isDone || version !== run?.target,
    );
    const [best] = others.sort(([, a], [, b]) => b - a);
    if (!best) return null;
    if (stable === undefined) this.#versions.set(service, best[0]);
    return best[0];
  }
}

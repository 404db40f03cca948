import type {CrashReport} from './evidence.js';

/** Limits memory; the oldest crash is removed first. */
const maxCrashes = 512;

/**
 * Decides which crashes count against a version. If an earlier crash of another
 * process had the same request in flight, the crash is attributed to that
 * request, unless the old version has answered the request since.
 *
 * @internal
 */
export class CrashAttribution {
  /** Request fingerprints by crash id. */
  readonly #crashes = new Map<string, Set<string>>();
  readonly #cleared = new Set<string>();

  /** Records requests of crashes that the old version has answered since. */
  clear(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.#cleared.add(fingerprint);
  }

  /** Adds a report; true when it is a new crash attributed to the version. */
  add(report: CrashReport): boolean {
    const known = this.#crashes.get(report.crashId);
    if (known) {
      for (const fingerprint of report.fingerprints) known.add(fingerprint);
      return false;
    }
    const explained = this.#isExplained(report.fingerprints);
    this.#crashes.set(report.crashId, new Set(report.fingerprints));
    this.#trim();
    return !explained;
  }

  #isExplained(fingerprints: readonly string[]): boolean {
    const suspects = fingerprints.filter(f => !this.#cleared.has(f));
    return suspects.some(f =>
      [...this.#crashes.values()].some(crash => crash.has(f)),
    );
  }

  #trim(): void {
    if (this.#crashes.size <= maxCrashes) return;
    const oldest = this.#crashes.keys().next().value;
    if (oldest !== undefined) this.#crashes.delete(oldest);
  }
}

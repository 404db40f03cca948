import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {CrashNotice} from './crash-notice.js';
import {ExpiringMap} from './expiring-map.js';

/** Settings of {@link CrashQuarantine}. @public */
export interface CrashQuarantineOptions {
  /** Time for which a fingerprint is refused, in milliseconds; default 10 min. */
  readonly quarantineMs?: number;
  /** Suspects and quarantined fingerprints kept, each; default 1,024. */
  readonly maxEntries?: number;
}

/** Answer to a call that is about to be passed to the upstream. @public */
export type QuarantineDecision =
  | {readonly kind: 'allowed'; readonly suspect: boolean}
  | {readonly kind: 'refused'; readonly code: ResultCode};

const defaultQuarantineMs = 600_000;
const defaultMaxEntries = 1024;
const crashesToQuarantine = 2;

/**
 * Recognises requests that crash the upstreams that run them. A fingerprint
 * that was in flight at two crashes is refused. Suspects run one at a time on
 * a node, so that the second crash has one explanation.
 *
 * @public
 */
export class CrashQuarantine {
  /** Crash ids per suspect. Ids make repeated notices harmless. */
  readonly #suspects: ExpiringMap<ReadonlySet<string>>;
  readonly #quarantined: ExpiringMap<true>;
  /** Crashes whose cause is known; their other suspects are innocent. */
  readonly #explained: ExpiringMap<true>;
  readonly #inFlight = new Map<string, string>();
  #runningSuspect: string | null = null;

  constructor(options: CrashQuarantineOptions = {}) {
    const ttlMs = options.quarantineMs ?? defaultQuarantineMs;
    const max = options.maxEntries ?? defaultMaxEntries;
    this.#suspects = new ExpiringMap(max, ttlMs);
    this.#quarantined = new ExpiringMap(max, ttlMs);
    this.#explained = new ExpiringMap(max, ttlMs);
  }

  /** Numbers of entries, for metrics. */
  sizes(): {suspects: number; quarantined: number; inFlight: number} {
    return {
      suspects: this.#suspects.size,
      quarantined: this.#quarantined.size,
      inFlight: this.#inFlight.size,
    };
  }

  isSuspect(fingerprint: string, now: number): boolean {
    return this.#suspects.get(fingerprint, now) !== undefined;
  }

  isQuarantined(fingerprint: string, now: number): boolean {
    return this.#quarantined.get(fingerprint, now) !== undefined;
  }

  /**
   * Asks before a call is passed to the upstream.
   *
   * Refusals: 1609 if quarantined, 1615 if another suspect runs here.
   */
  tryStart(
    callId: string,
    fingerprint: string,
    now: number,
  ): QuarantineDecision {
    if (this.isQuarantined(fingerprint, now)) {
      return {kind: 'refused', code: CALL_CODES.quarantined};
    }
    const suspect = this.isSuspect(fingerprint, now);
    if (suspect && this.#runningSuspect !== null) {
      return {kind: 'refused', code: CALL_CODES.suspectBusy};
    }
    if (suspect) this.#runningSuspect = callId;
    this.#inFlight.set(callId, fingerprint);
    return {kind: 'allowed', suspect};
  }

  /**
   * Ends a call. A complete response clears the fingerprint; the notice, if
   * any, must be sent to the nodes of the service.
   *
   * @param complete - False for calls that were cancelled or cut off.
   */
  finish(callId: string, complete: boolean, now: number): CrashNotice | null {
    const fingerprint = this.#inFlight.get(callId);
    if (fingerprint === undefined) return null;
    this.#forget(callId);
    if (!complete || !this.isSuspect(fingerprint, now)) return null;
    this.#suspects.delete(fingerprint);
    return {kind: 'cleared', fingerprint};
  }

  /**
   * Handles the death of the own upstream: the calls in flight are over and
   * their fingerprints become suspects or are quarantined.
   *
   * @param crashId - Unique id of this crash among all nodes.
   * @returns Notices for the nodes of the service.
   */
  crashed(crashId: string, now: number): CrashNotice[] {
    const fingerprints = [...new Set(this.#inFlight.values())];
    this.#inFlight.clear();
    this.#runningSuspect = null;
    return this.#blame(crashId, fingerprints, now);
  }

  /**
   * Applies a notice of another node.
   *
   * @returns Notices that follow from it, for the nodes of the service.
   */
  receive(notice: CrashNotice, now: number): CrashNotice[] {
    if (notice.kind === 'cleared') {
      this.#suspects.delete(notice.fingerprint);
      return [];
    }
    if (notice.kind === 'suspects') {
      return this.#blame(notice.crashId, notice.fingerprints, now).filter(
        n => n.kind === 'quarantined',
      );
    }
    this.#quarantine(notice.crashId, notice.fingerprints, now);
    return [];
  }

  #blame(
    crashId: string,
    fingerprints: readonly string[],
    now: number,
  ): CrashNotice[] {
    if (this.#explained.get(crashId, now)) return [];
    const open = fingerprints.filter(f => !this.isQuarantined(f, now));
    const guilty = open.filter(f => this.#isRepeated(f, crashId, now));
    if (guilty.length > 0) {
      this.#quarantine(crashId, guilty, now);
      return [{kind: 'quarantined', crashId, fingerprints: guilty}];
    }
    // A quarantined request in flight already explains the crash.
    if (open.length < fingerprints.length || open.length === 0) return [];
    for (const f of open) this.#suspects.set(f, new Set([crashId]), now);
    return [{kind: 'suspects', crashId, fingerprints: open}];
  }

  #isRepeated(fingerprint: string, crashId: string, now: number): boolean {
    const crashes = this.#suspects.get(fingerprint, now) ?? new Set<string>();
    return new Set([...crashes, crashId]).size >= crashesToQuarantine;
  }

  /** Blames some fingerprints for a crash and clears the others of it. */
  #quarantine(crashId: string, guilty: readonly string[], now: number): void {
    this.#explained.set(crashId, true, now);
    for (const fingerprint of guilty) {
      const crashes = this.#suspects.get(fingerprint, now) ?? [];
      for (const id of crashes) this.#explained.set(id, true, now);
      this.#suspects.delete(fingerprint);
      this.#quarantined.set(fingerprint, true, now);
    }
    this.#clearExplained(now);
  }

  #clearExplained(now: number): void {
    for (const [fingerprint, crashes] of this.#suspects.entries(now)) {
      const open = [...crashes].some(id => !this.#explained.get(id, now));
      if (!open) this.#suspects.delete(fingerprint);
    }
  }

  #forget(callId: string): void {
    this.#inFlight.delete(callId);
    if (this.#runningSuspect === callId) this.#runningSuspect = null;
  }
}

import {CALL_CODES} from '@verbenabeam/core';
import type {ResultCode} from '@verbenabeam/core';
import type {CrashNotice} from './crash-notice.js';
import {ExpiringMap} from './expiring-map.js';

/** Settings of {@link CrashQuarantine}. @public */
export interface CrashQuarantineOptions {
  /** Time for which a fingerprint is refused, in milliseconds; default 10 minutes. */
  readonly quarantineMs?: number;
  /** Maximum number of suspects, and of quarantined fingerprints; default 1,024. */
  readonly maxEntries?: number;
}

/** Whether a call may be passed to the upstream. @public */
export type QuarantineDecision =
  | {readonly kind: 'allowed'; readonly suspect: boolean}
  | {readonly kind: 'refused'; readonly code: ResultCode};

const defaultQuarantineMs = 600_000;
const defaultMaxEntries = 1024;
const crashesToQuarantine = 2;

/**
 * Detects requests that crash the upstream. Each fingerprint in flight at a
 * crash becomes a suspect; one that is in flight at a second crash is refused
 * from then on. A node runs one suspect at a time, so that a second crash has
 * only one possible cause.
 *
 * @public
 */
export class CrashQuarantine {
  /** Crash ids of each suspect. A notice that arrives twice has the same id. */
  readonly #suspects: ExpiringMap<ReadonlySet<string>>;
  readonly #quarantined: ExpiringMap<true>;
  /** Ids of crashes with a known cause; their other suspects are cleared. */
  readonly #attributedCrashes: ExpiringMap<true>;
  readonly #inFlight = new Map<string, string>();
  #runningSuspect: string | null = null;

  constructor(options: CrashQuarantineOptions = {}) {
    const ttlMs = options.quarantineMs ?? defaultQuarantineMs;
    const max = options.maxEntries ?? defaultMaxEntries;
    this.#suspects = new ExpiringMap(max, ttlMs);
    this.#quarantined = new ExpiringMap(max, ttlMs);
    this.#attributedCrashes = new ExpiringMap(max, ttlMs);
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
   * Decides whether a call may be passed to the upstream.
   *
   * Refusals: 1609 if quarantined, 1615 if another suspect is running here.
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
   * Ends a call. A complete response clears a suspect fingerprint. The caller
   * must send the returned notice, if any, to the nodes of the service.
   *
   * @param complete - False if the call was cancelled or its connection lost.
   */
  finish(callId: string, complete: boolean, now: number): CrashNotice | null {
    const fingerprint = this.#inFlight.get(callId);
    if (fingerprint === undefined) return null;
    this.#removeInFlight(callId);
    if (!complete || !this.isSuspect(fingerprint, now)) return null;
    this.#suspects.delete(fingerprint);
    return {kind: 'cleared', fingerprint};
  }

  /**
   * Handles a crash of the local upstream: the calls in flight have ended, and
   * their fingerprints become suspects or are quarantined.
   *
   * @param crashId - Id of this crash, unique over all nodes.
   * @returns Notices for the nodes of the service.
   */
  crashed(crashId: string, now: number): CrashNotice[] {
    const fingerprints = [...new Set(this.#inFlight.values())];
    this.#inFlight.clear();
    this.#runningSuspect = null;
    return this.#attributeCrash(crashId, fingerprints, now);
  }

  /**
   * Applies a notice from another node.
   *
   * @returns Notices to send to the nodes of the service as a result.
   */
  receive(notice: CrashNotice, now: number): CrashNotice[] {
    if (notice.kind === 'cleared') {
      this.#suspects.delete(notice.fingerprint);
      return [];
    }
    if (notice.kind === 'suspects') {
      return this.#attributeCrash(
        notice.crashId,
        notice.fingerprints,
        now,
      ).filter(n => n.kind === 'quarantined');
    }
    this.#quarantine(notice.crashId, notice.fingerprints, now);
    return [];
  }

  #attributeCrash(
    crashId: string,
    fingerprints: readonly string[],
    now: number,
  ): CrashNotice[] {
    if (this.#attributedCrashes.get(crashId, now)) return [];
    const candidates = fingerprints.filter(f => !this.isQuarantined(f, now));
    const repeated = candidates.filter(f => this.#isRepeated(f, crashId, now));
    if (repeated.length > 0) {
      this.#quarantine(crashId, repeated, now);
      return [{kind: 'quarantined', crashId, fingerprints: repeated}];
    }
    // A quarantined request in flight already accounts for the crash.
    if (candidates.length < fingerprints.length || candidates.length === 0)
      return [];
    for (const f of candidates) this.#suspects.set(f, new Set([crashId]), now);
    return [{kind: 'suspects', crashId, fingerprints: candidates}];
  }

  #isRepeated(fingerprint: string, crashId: string, now: number): boolean {
    const crashes = this.#suspects.get(fingerprint, now) ?? new Set<string>();
    return new Set([...crashes, crashId]).size >= crashesToQuarantine;
  }

  /** Quarantines the causes of a crash and clears its other suspects. */
  #quarantine(crashId: string, causes: readonly string[], now: number): void {
    this.#attributedCrashes.set(crashId, true, now);
    for (const fingerprint of causes) {
      const crashes = this.#suspects.get(fingerprint, now) ?? [];
      for (const id of crashes) this.#attributedCrashes.set(id, true, now);
      this.#suspects.delete(fingerprint);
      this.#quarantined.set(fingerprint, true, now);
    }
    this.#clearAttributed(now);
  }

  #clearAttributed(now: number): void {
    for (const [fingerprint, crashes] of this.#suspects.entries(now)) {
      const isUnattributed = [...crashes].some(
        id => !this.#attributedCrashes.get(id, now),
      );
      if (!isUnattributed) this.#suspects.delete(fingerprint);
    }
  }

  #removeInFlight(callId: string): void {
    this.#inFlight.delete(callId);
    if (this.#runningSuspect === callId) this.#runningSuspect = null;
  }
}

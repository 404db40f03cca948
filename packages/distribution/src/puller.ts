import type {ConfigDigest} from './messages/config-digest.js';
import type {ConfigPullRequest} from './messages/config-pull.js';

/** A pull to send. @internal */
export interface Pull {
  readonly to: string;
  readonly message: ConfigPullRequest;
}

interface Source {
  readonly peer: string;
  readonly version: number;
  readonly hash: string;
}

/** A pull without a response is given up after this time. */
const pullTimeoutMs = 3_000;
/** A version that cannot be compiled is tried again after this time. */
const refusedRetryMs = 30_000;

/**
 * Decides when to pull from a peer that shows a newer version: one pull at a
 * time, and none before the time that a busy peer named.
 *
 * @internal
 */
export class Puller {
  #source: Source | null = null;
  #busyUntil = 0;
  #pendingUntil = 0;
  #needFullText = false;
  #refused: Source | null = null;
  #refusedUntil = 0;

  /** Notes a peer that shows a newer version. */
  noteNewer(peer: string, seen: Pick<Source, 'version' | 'hash'>): void {
    const best = this.#source?.version ?? 0;
    // The latest peer is kept, because earlier ones may have become unreachable.
    if (seen.version < best) return;
    this.#source = {peer, version: seen.version, hash: seen.hash};
  }

  /** Returns the pull that is due, or null. */
  next(active: ConfigDigest, now: number): Pull | null {
    const source = this.#source;
    if (!source || source.version <= active.version) {
      this.#source = null;
      return null;
    }
    if (now < this.#busyUntil || now < this.#pendingUntil) return null;
    if (this.#isRefused(source, now)) return null;
    this.#pendingUntil = now + pullTimeoutMs;
    const {environment, version, hash} = active;
    const have = this.#needFullText ? {version: 0, hash: ''} : {version, hash};
    const message = {environment, have, newerThan: version};
    return {to: source.peer, message};
  }

  /** A newer version has arrived and is being compiled. */
  hold(now: number): void {
    this.#pendingUntil = now + pullTimeoutMs;
  }

  /** The pull ended; the next digest or tick may start another. */
  done(): void {
    this.#pendingUntil = 0;
    this.#needFullText = false;
  }

  /** The peer cannot be reached or shows nothing newer. */
  failed(): void {
    this.#pendingUntil = 0;
    this.#source = null;
  }

  /** The peer is at its limit of full texts. */
  busy(retryAfterMs: number, now: number): void {
    this.#pendingUntil = 0;
    this.#busyUntil = now + retryAfterMs;
  }

  /** A delta did not fit; the next pull asks for the full text. */
  deltaUnusable(): void {
    this.#pendingUntil = 0;
    this.#needFullText = true;
  }

  /** The version cannot be applied here. */
  refused(version: number, hash: string, now: number): void {
    this.done();
    this.#refused = {peer: '', version, hash};
    this.#refusedUntil = now + refusedRetryMs;
  }

  #isRefused(source: Source, now: number): boolean {
    if (now >= this.#refusedUntil) return false;
    const {version, hash} = this.#refused ?? {};
    return source.version === version && source.hash === hash;
  }
}

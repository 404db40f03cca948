import type {RandomSource} from '@verbenabeam/core';

const windowMs = 1000;
const maxDoublings = 5;
/** Seeds may all be lost or alone, so a lone node keeps asking. */
const answerTimeoutMs = 2000;
/** When nobody has joined yet, asking all seeds twice is enough. */
const roundsOfPartial = 2;
const partialWaitMs = 500;

/** Limits the full tables that a node serves. @internal */
export class TableServer {
  #servedAt: number[] = [];

  /** Takes a place if one is free in the second that ends now. */
  tryServe(now: number, tablesPerSecond: number): boolean {
    this.#servedAt = this.#servedAt.filter(at => now - at < windowMs);
    if (this.#servedAt.length >= tablesPerSecond) return false;
    this.#servedAt.push(now);
    return true;
  }
}

/** Asks seeds in turn for a table until one answers. @internal */
export class JoinClient {
  #seeds: readonly string[] = [];
  /** Members that a busy seed has named and that were not asked yet. */
  #referred: string[] = [];
  #next = 0;
  #attempts = 0;
  #dueAt = Infinity;
  #joined = false;

  get joined(): boolean {
    return this.#joined;
  }

  /** Sets the seeds in random order, so that restarts spread over them. */
  start(seeds: readonly string[], now: number, rng: RandomSource): void {
    this.#seeds = rng.shuffle(seeds);
    this.#referred = [];
    this.#joined = seeds.length === 0;
    this.#dueAt = this.#joined ? Infinity : now;
    this.#attempts = 0;
    this.#next = 0;
  }

  /** Asks the same seeds again, for a node that has lost all peers. */
  restart(now: number): void {
    if (!this.#joined || this.#seeds.length === 0) return;
    this.#joined = false;
    this.#dueAt = now;
  }

  /** Returns the seed to ask now, or null. */
  poll(now: number, rng: RandomSource): string | null {
    if (this.#joined || now < this.#dueAt) return null;
    this.#backOff(now, answerTimeoutMs, rng);
    const referred = this.#referred.pop();
    if (referred !== undefined) return referred;
    return this.#seeds[this.#next++ % this.#seeds.length] ?? null;
  }

  /**
   * A busy seed was met: waits with full jitter before the next one. The first
   * seed that is busy names others, so that tables come from all members.
   */
  refused(
    retryAfterMs: number,
    others: readonly string[],
    now: number,
    rng: RandomSource,
  ): void {
    if (this.#joined) return;
    if (this.#referred.length === 0) this.#referred = [...others];
    const most = retryAfterMs * 2 ** Math.min(this.#attempts, maxDoublings);
    this.#dueAt = now + rng.float() * most;
  }

  /**
   * A table has arrived. One of a seed that has not joined itself is not
   * enough: after a mass restart such seeds would form an island.
   */
  accept(isFull: boolean, now: number, rng: RandomSource): void {
    const askedAll = this.#next >= this.#seeds.length * roundsOfPartial;
    this.#joined ||= isFull || askedAll;
    if (!this.#joined) this.#dueAt = now + rng.float() * partialWaitMs;
  }

  /** A random seed, to look for an island that this node does not know. */
  anySeed(rng: RandomSource): string | null {
    return this.#seeds.length === 0 ? null : rng.pick(this.#seeds);
  }

  #backOff(now: number, baseMs: number, rng: RandomSource): void {
    this.#attempts++;
    this.#dueAt = now + baseMs * (1 + rng.float());
  }
}

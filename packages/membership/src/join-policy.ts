import type {RandomSource} from '@verbenabeam/core';

const windowMs = 1000;
const maxDoublings = 5;
/** A node without peers retries forever: all seeds may be down or alone. */
const answerTimeoutMs = 2000;
/** Rounds over the seeds until a table of an unjoined seed is accepted. */
const maxPartialRounds = 2;
const partialRetryMs = 500;

/** Limits the rate at which a node serves full tables. @internal */
export class TableServer {
  #servedAt: number[] = [];

  /** Counts one more table if the limit for the last second allows it. */
  tryServe(now: number, tablesPerSecond: number): boolean {
    this.#servedAt = this.#servedAt.filter(at => now - at < windowMs);
    if (this.#servedAt.length >= tablesPerSecond) return false;
    this.#servedAt.push(now);
    return true;
  }
}

/** Requests the table from one seed after another to join. @internal */
export class JoinClient {
  #seeds: readonly string[] = [];
  /** Members named in a `busy` reply that were not asked yet. */
  #alternatives: string[] = [];
  #next = 0;
  #attempts = 0;
  #dueAt = Infinity;
  #joined = false;

  get joined(): boolean {
    return this.#joined;
  }

  /** Sets the seeds in random order, to spread the load of restarts. */
  start(seeds: readonly string[], now: number, rng: RandomSource): void {
    this.#seeds = rng.shuffle(seeds);
    this.#alternatives = [];
    this.#joined = seeds.length === 0;
    this.#dueAt = this.#joined ? Infinity : now;
    this.#attempts = 0;
    this.#next = 0;
  }

  /** Joins through the same seeds again after the node has lost all peers. */
  restart(now: number): void {
    if (!this.#joined || this.#seeds.length === 0) return;
    this.#joined = false;
    this.#dueAt = now;
  }

  /** Returns the seed to ask now, or null. */
  poll(now: number, rng: RandomSource): string | null {
    if (this.#joined || now < this.#dueAt) return null;
    this.#backOff(now, answerTimeoutMs, rng);
    const alternative = this.#alternatives.pop();
    if (alternative !== undefined) return alternative;
    return this.#seeds[this.#next++ % this.#seeds.length] ?? null;
  }

  /**
   * Handles a `busy` reply: backs off with full jitter before the next request.
   * The alternatives in the reply spread the load over all members.
   */
  onBusy(
    retryAfterMs: number,
    others: readonly string[],
    now: number,
    rng: RandomSource,
  ): void {
    if (this.#joined) return;
    if (this.#alternatives.length === 0) this.#alternatives = [...others];
    const most = retryAfterMs * 2 ** Math.min(this.#attempts, maxDoublings);
    this.#dueAt = now + rng.float() * most;
  }

  /**
   * Handles a received table. A table of a seed that has not joined itself is
   * not enough: after a mass restart such seeds would form a separate cluster.
   * It is accepted once all seeds were asked twice, as none may have joined.
   */
  onTable(isFull: boolean, now: number, rng: RandomSource): void {
    const askedAll = this.#next >= this.#seeds.length * maxPartialRounds;
    this.#joined ||= isFull || askedAll;
    if (!this.#joined) this.#dueAt = now + rng.float() * partialRetryMs;
  }

  /** A random seed, to find a cluster that is separate from this node's. */
  randomSeed(rng: RandomSource): string | null {
    return this.#seeds.length === 0 ? null : rng.pick(this.#seeds);
  }

  #backOff(now: number, baseMs: number, rng: RandomSource): void {
    this.#attempts++;
    this.#dueAt = now + baseMs * (1 + rng.float());
  }
}

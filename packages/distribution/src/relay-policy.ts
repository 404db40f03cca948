import type {RandomSource} from '@verbenabeam/core';

/** Relay slots of each data centre. @public */
export const RELAY_SLOTS = 2;
/** Time to live of a relay lease in milliseconds. @public */
export const RELAY_LEASE_MS = 10_000;

const renewMs = 3_000;
const maxWaitMs = 5_000;

/** A relay slot that a node holds. @public */
export interface RelaySlot {
  readonly slot: number;
  readonly lease: string;
}

/** What the relay driver does next. @public */
export type RelayStep =
  | {readonly type: 'none'}
  | {readonly type: 'take'; readonly firstSlot: number}
  | {readonly type: 'renew'; readonly lease: string};

/**
 * Decides when a node takes and renews a relay slot. Times are monotonic
 * milliseconds.
 *
 * @public
 */
export class RelayPolicy {
  readonly #random: RandomSource;
  #held: RelaySlot | null = null;
  #takeAt: number | null = null;
  #renewAt = 0;
  #validUntil = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** True while the node may act as a relay. */
  isRelay(now: number): boolean {
    return this.#held !== null && now < this.#validUntil;
  }

  /** @param relays - Live relays of the data centre in the node's table. */
  next(relays: number, now: number): RelayStep {
    if (this.#held && now >= this.#validUntil) this.lost();
    if (this.#held) return this.#renewIfDue(this.#held, now);
    if (relays >= RELAY_SLOTS) {
      this.#takeAt = null;
      return {type: 'none'};
    }
    this.#takeAt ??= now + this.#random.float() * maxWaitMs;
    if (now < this.#takeAt) return {type: 'none'};
    this.#takeAt = null;
    return {type: 'take', firstSlot: this.#random.below(RELAY_SLOTS)};
  }

  /** @param askedAt - Time before the lease was requested. */
  taken(slot: RelaySlot, askedAt: number): void {
    this.#held = slot;
    this.renewed(askedAt);
  }

  /**
   * The lease counts from the time of the request, so a node never believes in
   * it longer than the store does, apart from pauses.
   */
  renewed(askedAt: number): void {
    this.#renewAt = askedAt + renewMs;
    this.#validUntil = askedAt + RELAY_LEASE_MS;
  }

  /** Gives the slot up and returns it, or null when none is held. */
  release(): RelaySlot | null {
    const held = this.#held;
    this.lost();
    return held;
  }

  /** The lease has ended; the slot may belong to another node. */
  lost(): void {
    this.#held = null;
  }

  #renewIfDue({lease}: RelaySlot, now: number): RelayStep {
    if (now < this.#renewAt) return {type: 'none'};
    return {type: 'renew', lease};
  }
}

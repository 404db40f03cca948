import type {RandomSource} from '@verbenabeam/core';
import type {Effect} from './effect.js';
import type {ConfigDigest} from './messages/config-digest.js';

type Version = Pick<ConfigDigest, 'version' | 'hash'>;

/** Peers that a starting node asks at once, and that must agree in an outage. */
const wantedPeers = 3;
/** A starting node repeats its questions after 1 to 2 of these. */
const retryMs = 1_000;

/**
 * Collects what the store and the peers show to a node that starts empty. The
 * node must not serve before it holds the highest version among the answers.
 *
 * @public
 */
export class StartInquiry {
  #store: Version | 'pending' | 'down' = 'pending';
  readonly #answers = new Map<string, Version>();
  readonly #unreachable = new Set<string>();
  readonly #asked = new Set<string>();
  #askAgainAt = 0;

  /** Notes the store's head; version 0 means that it has none. */
  storeShows(head: Version): void {
    this.#store = head;
  }

  /** Notes that the store did not respond; its earlier answer stays. */
  storeFailed(): void {
    if (this.#store === 'pending') this.#store = 'down';
  }

  /** Notes a peer's digest. */
  peerShows(peer: string, digest: Version): void {
    this.#answers.set(peer, digest);
    this.#unreachable.delete(peer);
  }

  /** Notes a peer that did not respond. */
  peerFailed(peer: string): void {
    if (!this.#answers.has(peer)) this.#unreachable.add(peer);
  }

  /** Returns the questions that are due to the store and to peers. */
  questions(
    peers: readonly string[],
    active: ConfigDigest,
    random: RandomSource,
    now: number,
  ): readonly Effect[] {
    const isDue = now >= this.#askAgainAt;
    // Peers that became known after the last questions are asked at once.
    const chosen = isDue
      ? random.shuffle(this.#unasked(peers)).slice(0, wantedPeers)
      : random.shuffle(this.#neverAsked(peers)).slice(0, this.#unusedQuestions);
    for (const peer of chosen) this.#asked.add(peer);
    const toPeers = chosen.map((to): Effect => ({
      type: 'askDigest',
      to,
      message: active,
    }));
    if (!isDue) return toPeers;
    this.#askAgainAt = now + retryMs * (1 + random.float());
    const needsStore = typeof this.#store === 'string';
    const isBehind = this.highest > active.version;
    return needsStore || isBehind ? [{type: 'readHead'}, ...toPeers] : toPeers;
  }

  /** Peers that have not answered yet; those not tried come first. */
  #unasked(peers: readonly string[]): readonly string[] {
    const open = peers.filter(peer => !this.#answers.has(peer));
    const untried = open.filter(peer => !this.#unreachable.has(peer));
    return untried.length > 0 ? untried : open;
  }

  #neverAsked(peers: readonly string[]): readonly string[] {
    return peers.filter(peer => !this.#asked.has(peer));
  }

  /** Questions that may be sent before the first repetition. */
  get #unusedQuestions(): number {
    return Math.max(0, wantedPeers - this.#asked.size);
  }

  /** The highest version that any answer showed. */
  get highest(): number {
    const shown = [...this.#answers.values()].map(row => row.version);
    const stored = typeof this.#store === 'string' ? 0 : this.#store.version;
    return Math.max(0, stored, ...shown);
  }

  /**
   * True if the answers suffice to know the highest version. Peers alone suffice
   * only once the store has failed to respond: they may lag behind it.
   */
  isComplete(peers: readonly string[]): boolean {
    if (this.#store === 'pending') return false;
    const allReachable = peers.every(
      peer => this.#answers.has(peer) || this.#unreachable.has(peer),
    );
    if (this.#store !== 'down')
      return allReachable || this.#answers.size >= wantedPeers;
    if (this.#answers.size === 0) return false;
    return allReachable || this.#countAgreeing() >= wantedPeers;
  }

  /** Counts the peers on the most common of the highest versions. */
  #countAgreeing(): number {
    const counts = new Map<string, number>();
    for (const row of this.#answers.values()) {
      if (row.version === 0 || row.version !== this.highest) continue;
      counts.set(row.hash, (counts.get(row.hash) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }
}

/**
 * Map with a maximum size and a time to live for its entries. When the map is
 * full, the oldest entry is dropped.
 *
 * @internal
 */
export class ExpiringMap<V> {
  readonly #entries = new Map<string, {value: V; until: number}>();
  readonly #maxSize: number;
  readonly #ttlMs: number;

  constructor(maxSize: number, ttlMs: number) {
    this.#maxSize = maxSize;
    this.#ttlMs = ttlMs;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: string, now: number): V | undefined {
    const entry = this.#entries.get(key);
    if (!entry) return undefined;
    if (now < entry.until) return entry.value;
    this.#entries.delete(key);
    return undefined;
  }

  set(key: string, value: V, now: number): void {
    this.#entries.delete(key);
    if (this.#entries.size >= this.#maxSize) {
      const [oldest] = this.#entries.keys();
      if (oldest !== undefined) this.#entries.delete(oldest);
    }
    this.#entries.set(key, {value, until: now + this.#ttlMs});
  }

  /** Copy of the entries that have not expired, oldest first. */
  entries(now: number): [string, V][] {
    return [...this.#entries]
      .filter(([, entry]) => now < entry.until)
      .map(([key, entry]) => [key, entry.value]);
  }

  delete(key: string): boolean {
    return this.#entries.delete(key);
  }
}

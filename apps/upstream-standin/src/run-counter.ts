/** Counts executions, so that tests find requests that ran twice. @public */
export class RunCounter {
  readonly #byCall = new Map<string, number>();
  readonly #byKey = new Map<string, number>();
  #total = 0;

  /** Executions that began. */
  get total(): number {
    return this.#total;
  }

  /** Counts one execution. */
  add(callId: string | undefined, key: string | undefined): void {
    this.#total++;
    if (callId !== undefined) addOne(this.#byCall, callId);
    if (key !== undefined) addOne(this.#byKey, key);
  }

  /** Executions of a call. */
  ofCall(callId: string): number {
    return this.#byCall.get(callId) ?? 0;
  }

  /** Executions under an idempotency key. */
  ofKey(key: string): number {
    return this.#byKey.get(key) ?? 0;
  }

  /** Keys and call ids with more than one execution. */
  repeated(): {calls: string[]; keys: string[]} {
    return {calls: repeatedIn(this.#byCall), keys: repeatedIn(this.#byKey)};
  }
}

function addOne(counts: Map<string, number>, id: string): void {
  counts.set(id, (counts.get(id) ?? 0) + 1);
}

function repeatedIn(counts: Map<string, number>): string[] {
  return [...counts].filter(([, count]) => count > 1).map(([id]) => id);
}

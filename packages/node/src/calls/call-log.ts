import type {CallObserver} from './entry-ports.js';
import type {CallRecord} from './call-record.js';

/** Recent calls that the explain command can report on. */
const defaultCapacity = 10_000;

/** Ring buffer with the records of the calls that ended here last. @public */
export class CallLog implements CallObserver {
  readonly #records: CallRecord[] = [];
  readonly #capacity: number;
  #next = 0;

  constructor(capacity = defaultCapacity) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#records.length;
  }

  onCall(record: CallRecord): void {
    this.#records[this.#next] = record;
    this.#next = (this.#next + 1) % this.#capacity;
  }

  /** Finds a call; null if it is unknown or its record was overwritten. */
  find(callId: string): CallRecord | null {
    return this.#records.find(r => r.callId === callId) ?? null;
  }

  /** The most recent calls, newest first. */
  latest(count: number): CallRecord[] {
    const all = this.#records
      .slice(this.#next)
      .concat(this.#records.slice(0, this.#next));
    return all.slice(-count).reverse();
  }

  /** Sub-calls of this call, in no particular order. */
  children(callId: string): CallRecord[] {
    return this.#records.filter(r => r.parentCallId === callId);
  }
}

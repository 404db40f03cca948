import type {CallObserver} from './entry-ports.js';
import type {CallRecord} from './call-record.js';

/** Calls that the explain command can look back on. */
const defaultCapacity = 10_000;

/** Ring buffer of the calls that entered here most recently. @public */
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

  /** Finds a call; null if it is unknown or was overwritten. */
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

  /** Calls that have this call as their parent, in no order. */
  children(callId: string): CallRecord[] {
    return this.#records.filter(r => r.parentCallId === callId);
  }
}

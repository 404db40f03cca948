import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {RequestOptions} from './peer-bus.js';
import {cancelled, notSent} from './wire-errors.js';

type Outcome = Result<unknown, MeshError>;

interface Pending {
  readonly frameNumber: number;
  readonly settle: (outcome: Outcome) => void;
}

/** Requests of one connection that wait for a response. @internal */
export class PendingRequests {
  readonly #pending = new Map<number, Pending>();

  get size(): number {
    return this.#pending.size;
  }

  /** Registers a request whose frame has this number. */
  add(
    id: number,
    frameNumber: number,
    {timeoutMs, signal}: RequestOptions,
  ): Promise<Outcome> {
    return new Promise(resolve => {
      const abort = () => this.settle(id, Result.err(cancelled()));
      const timer = setTimeout(() => {
        this.settle(id, Result.err(timedOut(timeoutMs)));
      }, timeoutMs);
      signal?.addEventListener('abort', abort, {once: true});
      const settle = (outcome: Outcome) => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', abort);
        resolve(outcome);
      };
      this.#pending.set(id, {frameNumber, settle});
    });
  }

  /** Settles a request; false if it is not known (any more). */
  settle(id: number, outcome: Outcome): boolean {
    const entry = this.#pending.get(id);
    if (!entry) return false;
    this.#pending.delete(id);
    entry.settle(outcome);
    return true;
  }

  /** Fails all requests; those not written yet were not sent. */
  failAll(err: MeshError, wasFlushed: (frameNumber: number) => boolean): void {
    for (const [id, entry] of this.#pending) {
      const flushed = wasFlushed(entry.frameNumber);
      this.settle(id, Result.err(flushed ? err : notSent(err)));
    }
  }
}

function timedOut(timeoutMs: number): MeshError {
  return new MeshError(
    WIRE_CODES.timeout,
    `No response arrived within ${timeoutMs} ms`,
  );
}

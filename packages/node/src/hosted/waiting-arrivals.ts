import type {Server} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop without arrivals after which nothing waits any more. */
const quietTurns = 4;
/** Bound for callers that never pause. */
const maxTurns = 500;

/**
 * Reads what waits in the kernel before connections are closed. A process that stood
 * still runs its timers first, and closing then resets connections whose requests it
 * has not read.
 *
 * @internal
 */
export class WaitingArrivals {
  #arrivals = 0;

  constructor(server: Server) {
    for (const event of ['connection', 'request']) {
      server.on(event, () => this.#arrivals++);
    }
  }

  /** Resolves when no connection or request waits. */
  async read(): Promise<void> {
    let quiet = 0;
    for (let i = 0; i < maxTurns && quiet < quietTurns; i++) {
      const before = this.#arrivals;
      await nextTurn();
      quiet = this.#arrivals === before ? quiet + 1 : 0;
    }
  }
}

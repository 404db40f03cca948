import type {Server} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop without arrivals after which nothing waits any more. */
const quietTurns = 4;
/** Bound for callers that never pause. */
const maxTurns = 500;
const arrivalEvents = ['connection', 'request'] as const;

/**
 * Reads what waits in the kernel before connections are closed; resolves when no
 * connection or request waits. A process that stood still runs its timers first, and
 * closing then resets connections whose requests it has not read.
 *
 * @internal
 */
export async function readWaitingArrivals(server: Server): Promise<void> {
  let arrivals = 0;
  const onArrival = () => arrivals++;
  for (const event of arrivalEvents) server.on(event, onArrival);
  let quiet = 0;
  for (let i = 0; i < maxTurns && quiet < quietTurns; i++) {
    const before = arrivals;
    await nextTurn();
    quiet = arrivals === before ? quiet + 1 : 0;
  }
  for (const event of arrivalEvents) server.off(event, onArrival);
}

import {setTimeout as delay} from 'node:timers/promises';

/**
 * Resolves after `ms` milliseconds, or earlier when the signal aborts; it never
 * rejects. Drivers take it as an option so that tests pass a manual clock.
 *
 * @public
 */
export type Sleep = (ms: number, signal?: AbortSignal) => Promise<void>;

/** Sleeps by the timers of the running process. @public */
export const systemSleep: Sleep = async (ms, signal) => {
  try {
    await delay(ms, undefined, {signal});
  } catch {
    // An aborted sleep ends early; the caller checks its signal.
  }
};

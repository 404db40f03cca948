import {systemSleep} from '@verbenabeam/store';

/** Time between two looks at a condition. */
const checkMs = 20;

/**
 * Resolves at a time.
 *
 * @param at - On the clock of `performance.now()`, in ms.
 * @internal
 */
export function sleepUntil(at: number): Promise<void> {
  return systemSleep(Math.max(0, at - performance.now()));
}

/** Resolves once a condition does not hold, at the latest at `at`. @internal */
export async function sleepWhile(
  holds: () => boolean,
  at: number,
): Promise<void> {
  while (holds() && performance.now() < at) await systemSleep(checkMs);
}

import {setImmediate as nextTurn} from 'node:timers/promises';

/**
 * Work that is done in steps of a few milliseconds and yields after each, so
 * that other events can be handled between them.
 *
 * @public
 */
export type Turns<T> = Generator<void, T, void>;

/** Waits until other events have been handled. @public */
export type Pause = () => Promise<unknown>;

/** Does all steps at once. @internal */
export function finish<T>(work: Turns<T>): T {
  for (;;) {
    const step = work.next();
    if (step.done) return step.value;
  }
}

/**
 * Does one step in each turn of the event loop.
 *
 * @param pause - Default: the next turn of the event loop.
 * @internal
 */
export async function finishInTurns<T>(
  work: Turns<T>,
  pause: Pause = nextTurn,
): Promise<T> {
  for (;;) {
    const step = work.next();
    if (step.done) return step.value;
    await pause();
  }
}

/** Maps a list and yields after each `size` items. @internal */
export function* mapInTurns<T, U>(
  items: readonly T[],
  size: number,
  map: (item: T) => U,
): Turns<U[]> {
  const mapped: U[] = [];
  for (const item of items) {
    mapped.push(map(item));
    if (mapped.length % size === 0) yield;
  }
  return mapped;
}

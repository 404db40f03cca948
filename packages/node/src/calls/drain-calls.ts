import type {EntryHandler} from './entry-handler.js';
import type {ServingHandler} from './serving-handler.js';

/**
 * Refuses new calls and resolves when none is in flight. Calls at the own
 * upstream may still make sub-calls, so the entry side is empty for good only
 * after the serving side.
 *
 * @internal
 */
export async function drainCalls(
  entry: EntryHandler,
  serving: ServingHandler,
): Promise<void> {
  const entryEmpty = entry.drain();
  await serving.drain();
  await entryEmpty;
  await entry.drain();
}

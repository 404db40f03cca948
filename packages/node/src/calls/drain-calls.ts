import type {EntryHandler} from './entry-handler.js';
import type {ServingHandler} from './serving-handler.js';

/**
 * Refuses new calls and resolves when none is in flight. Calls that run in the
 * upstream of this node may still make sub-calls through the entry side, so the
 * entry side is drained again after the serving side.
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

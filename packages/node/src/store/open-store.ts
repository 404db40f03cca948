import {HttpStore, StoreBudget} from '@verbenabeam/store';
import type {StoreRevisions} from '@verbenabeam/store';
import type {NodeSettings} from '../settings/node-settings.js';

/** Creates the store client from the settings. @internal */
export function openStore(
  {store}: NodeSettings,
  revisions: StoreRevisions,
): HttpStore {
  return new HttpStore({
    revisions,
    endpoints: store.endpoints,
    timeoutMs: store.timeout,
    budget: new StoreBudget({
      role: 'node',
      callsPerSecond: store.calls_per_second,
    }),
  });
}

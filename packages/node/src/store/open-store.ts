import {HttpStore, StoreBudget} from '@verbenabeam/store';
import type {NodeSettings} from '../settings/node-settings.js';

/** Opens the client of the store that the settings name. @internal */
export function openStore({store}: NodeSettings): HttpStore {
  return new HttpStore({
    endpoints: store.endpoints,
    timeoutMs: store.timeout,
    budget: new StoreBudget({
      role: 'node',
      callsPerSecond: store.calls_per_second,
    }),
  });
}

/**
 * Client of the platform's key-value service.
 *
 * @packageDocumentation
 */
export type {
  Compare,
  Entry,
  Put,
  Store,
  StoreCallOptions,
  Txn,
  TxnOutcome,
  WatchEvent,
  WatchOptions,
} from './store.js';

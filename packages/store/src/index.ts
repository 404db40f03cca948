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
  WatchLimits,
  WatchOptions,
  WatchRound,
} from './store.js';
export {Breaker} from './breaker.js';
export type {BreakerOptions, BreakerState} from './breaker.js';
export {HttpStore} from './http-store.js';
export type {HttpStoreOptions} from './http-store.js';
export {readOperationId, settledPut, settledTxn} from './settled-put.js';
export type {SettledPut, SettleOptions} from './settled-put.js';
export {systemSleep} from './sleep.js';
export type {Sleep} from './sleep.js';
export {ERA_VERDICTS, StoreEras} from './store-eras.js';
export type {EraSource, EraVerdict, EraView, ToldEra} from './store-eras.js';
export {
  decodePosition,
  encodePosition,
  eraOf,
  keptPosition,
  MAX_ERA,
  MAX_ERA_REVISION,
  positionFields,
  revisionOf,
} from './store-position.js';
export type {StorePosition} from './store-position.js';
export {StoreRevisions} from './store-revisions.js';
export type {RevisionView} from './store-revisions.js';
export {StoreBudget} from './store-budget.js';
export type {StoreBudgetOptions} from './store-budget.js';
export {sendJson} from './send-json.js';
export type {JsonCall, JsonResponse} from './send-json.js';
export {
  conflict,
  errorOfTransport,
  isTimeout,
  isUnknownOutcome,
  overBudget,
  rejected,
  unavailable,
  uncertain,
  unknownOutcome,
} from './store-errors.js';
export type {CallKind} from './store-errors.js';

/**
 * The operators' document: parse, check, compile, compare.
 *
 * @packageDocumentation
 */
export {STRICTNESS} from './snapshot.js';
export type {
  CompiledDocument,
  KeyRule,
  Move,
  Route,
  Service,
  Snapshot,
  Strictness,
} from './snapshot.js';

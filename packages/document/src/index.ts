/**
 * The operators' document: parse, check, compile, compare.
 *
 * @packageDocumentation
 */
export {canonicalHash} from './canonical.js';
export type {DocumentParts} from './canonical.js';
export {checkDeadlines, compile, compileInTurns} from './compile.js';
export {applyDelta, delta, smallDelta} from './delta.js';
export type {Delta, DeltaStep} from './delta.js';
export {CHANGE_KINDS, diff, diffInTurns} from './diff.js';
export type {Change} from './diff.js';
export {findRoute} from './find-route.js';
export type {RouteQuery} from './find-route.js';
export {MAX_DOCUMENT_BYTES} from './parse-document.js';
export {SourceLines} from './source-lines.js';
export type {ValuePath} from './source-lines.js';
export {STRICTNESS} from './snapshot.js';
export type {
  CompiledDocument,
  KeyRule,
  Move,
  CallerLimits,
  Route,
  WeightedService,
  Service,
  Snapshot,
  Strictness,
} from './snapshot.js';
export type {Pause} from './turns.js';

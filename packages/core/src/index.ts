/**
 * Shared base of all packages: result codes, errors, invariants, time,
 * randomness, hashes, ids and logs.
 *
 * @packageDocumentation
 */
export {systemClock} from './clock.js';
export type {Clock} from './clock.js';
export {ALL_CODES, findCode} from './codes/all-codes.js';
export {ACCESS_CODES} from './codes/access.js';
export {CALL_CODES} from './codes/calls.js';
export {CLAIM_CODES} from './codes/claims.js';
export {DOCUMENT_CODES} from './codes/document.js';
export {INVARIANT_CODES} from './codes/invariants.js';
export {MEMBERSHIP_CODES} from './codes/membership.js';
export {MOVE_CODES} from './codes/moves.js';
export {SETTINGS_CODES} from './codes/settings.js';
export {STORE_CODES} from './codes/store.js';
export {VERSION_CODES} from './codes/versions.js';
export {WIRE_CODES} from './codes/wire.js';
export {describeIssue} from './describe-issue.js';
export type {SchemaError} from './describe-issue.js';
export {errorLine} from './error-line.js';
export {hashBytes, hashText, hashToUint32, hashToUnit} from './hash.js';
export {newId} from './ids.js';
export {Invariants} from './invariants.js';
export type {InvariantListener} from './invariants.js';
export {logger, setLogSink} from './logger.js';
export type {LogFields, Logger, LogSink} from './logger.js';
export {MeshError} from './mesh-error.js';
export type {ErrorDetails, MeshErrorJson} from './mesh-error.js';
export {parseJson} from './parse-json.js';
export {processRandom, seededRandom} from './random-source.js';
export type {RandomSource} from './random-source.js';
export type {ResultCode} from './result-code.js';

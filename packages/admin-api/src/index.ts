/**
 * Requests and answers of the admin API, shared by the node and the command
 * line.
 *
 * @packageDocumentation
 */
export {checkResponseSchema} from './check.js';
export type {CheckResponse} from './check.js';
export {
  confirmRestoreRequestSchema,
  confirmRestoreResponseSchema,
} from './confirm-restore.js';
export {errorBodySchema} from './error-body.js';
export type {ErrorBody} from './error-body.js';
export {callAttemptSchema, callRecordSchema} from './explain.js';
export type {CallRecord} from './explain.js';
export {diffResponseSchema, historyResponseSchema} from './history.js';
export type {DiffResponse, HistoryResponse} from './history.js';
export {
  moveStatusSchema,
  movesResponseSchema,
  routeEvidenceSchema,
  takeBackRequestSchema,
} from './moves.js';
export type {MoveStatus, MovesResponse} from './moves.js';
export {nodeStatusSchema, statusResponseSchema} from './status.js';
export type {NodeStatus, StatusResponse} from './status.js';
export {
  promoteRequestSchema,
  reassertRequestSchema,
  submitRequestSchema,
} from './submit.js';
export type {PromoteRequest, ReassertRequest, SubmitRequest} from './submit.js';
export {versionMetaSchema} from './version-meta.js';
export type {VersionMeta} from './version-meta.js';

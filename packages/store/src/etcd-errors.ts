import type {MeshError} from '@verbenabeam/core';
import {errorResponse} from './etcd-codec.js';
import {
  errorOfTransport,
  isUnknownOutcome,
  rejected,
  unavailable,
  uncertain,
} from './store-errors.js';
import type {CallKind} from './store-errors.js';

/** gRPC status numbers that the gateway puts into `code`. @internal */
export const GRPC = {
  unknown: 2,
  invalidArgument: 3,
  notFound: 5,
  resourceExhausted: 8,
  failedPrecondition: 9,
  outOfRange: 11,
  unavailable: 14,
} as const;

/** Codes after which the store certainly did not apply the operation. */
const rejectedCodes: ReadonlySet<number> = new Set([
  GRPC.invalidArgument,
  GRPC.notFound,
  GRPC.failedPrecondition,
  GRPC.outOfRange,
]);

/** Errors that etcd reports before it proposes the operation. */
const notProposedMessages: ReadonlySet<string> = new Set([
  'etcdserver: no leader',
  'etcdserver: too many requests',
]);

/** One failed attempt at one endpoint. @internal */
export interface Failure {
  readonly error: MeshError;
  /** True when another endpoint may be asked without running a write twice. */
  readonly retry: boolean;
  /** False when the endpoint works and refused this operation. */
  readonly endpointFailed: boolean;
  /** gRPC status, or null without a response. */
  readonly grpcCode: number | null;
}

/** Classifies an error response. @internal */
export function failureOfResponse(
  kind: CallKind,
  status: number,
  body: unknown,
): Failure {
  const parsed = errorResponse.safeParse(body);
  const code = parsed.success ? parsed.data.code : GRPC.unknown;
  const message = parsed.success ? parsed.data.message : `status ${status}`;
  const details = {status, grpcCode: code};
  if (rejectedCodes.has(code)) {
    const error = rejected(message, details);
    return {error, retry: false, endpointFailed: false, grpcCode: code};
  }
  const notApplied =
    code === GRPC.resourceExhausted || notProposedMessages.has(message);
  const error = notApplied
    ? unavailable(message, details)
    : uncertain(kind, message, details);
  return {
    error,
    retry: !isUnknownOutcome(error),
    endpointFailed: true,
    grpcCode: code,
  };
}

/** Classifies a failed connection, a time limit or an unreadable body. @internal */
export function failureOfTransport(kind: CallKind, err: unknown): Failure {
  const error = errorOfTransport(kind, err);
  return {
    error,
    retry: !isUnknownOutcome(error),
    endpointFailed: true,
    grpcCode: null,
  };
}

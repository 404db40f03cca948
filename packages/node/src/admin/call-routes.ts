import {callRecordSchema} from '@verbenabeam/admin-api';
import type {CallRecord as CallAnswer} from '@verbenabeam/admin-api';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {CallRecord} from '../calls/index.js';
import type {AdminContext} from './admin-context.js';
import {ADMISSION} from './admin-route.js';
import type {AdminRoute} from './admin-route.js';

/** Kind of the request for the record of a call, sent to another node. @internal */
export const CALL_EXPLAIN = 'call.explain';

const peerTimeoutMs = 2_000;

/** Route for the record of a call. @internal */
export function callRoutes(ctx: AdminContext): AdminRoute[] {
  return [
    {
      method: 'GET',
      path: '/v1/calls/:call',
      admission: ADMISSION.operator,
      handle: ({params}) => explain(ctx, params['call'] ?? ''),
    },
  ];
}

/** Finds a call in the call log of this node. @internal */
export function explainHere(
  {calls, membership}: Pick<AdminContext, 'calls' | 'membership'>,
  callId: string,
): CallAnswer | null {
  const record = calls.find(callId);
  return record ? toAnswer(record, membership.own.nodeId) : null;
}

/**
 * Searches the call log of this node, then queries all peers of the environment.
 */
async function explain(
  ctx: AdminContext,
  callId: string,
): Promise<Result<CallAnswer, MeshError>> {
  const own = explainHere(ctx, callId);
  if (own) return Result.ok(own);
  const {membership, bus} = ctx;
  const {nodeId, environment} = membership.own;
  const peers = membership
    .live()
    .filter(r => r.nodeId !== nodeId && r.environment === environment);
  const answers = await Promise.all(
    peers.map(peer =>
      bus.request(
        peer.address,
        CALL_EXPLAIN,
        {callId},
        {
          timeoutMs: peerTimeoutMs,
        },
      ),
    ),
  );
  for (const answer of answers) {
    const parsed = callRecordSchema.safeParse(answer.unwrapOr(null));
    if (parsed.success) return Result.ok(parsed.data);
  }
  const text = `no reachable node holds a record of call "${callId}"`;
  return Result.err(new MeshError(ACCESS_CODES.unknownCall, text));
}

function toAnswer(record: CallRecord, entryNodeId: string): CallAnswer {
  return {
    callId: record.callId,
    entryNodeId,
    startedAt: record.startedAt,
    durationMs: record.durationMs,
    method: record.method,
    path: record.path,
    callerClass: record.callerClass,
    route: record.route,
    service: record.service,
    configVersion: record.configVersion,
    upstreamVersion: record.version,
    attempts: record.attempts.map(attempt => ({
      nodeId: attempt.nodeId,
      upstreamVersion: attempt.version,
      code: attempt.code,
      durationMs: attempt.latencyMs,
    })),
    code: record.code.code,
    status: record.status,
  };
}

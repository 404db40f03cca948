import {
  confirmRestoreRequestSchema,
  takeBackRequestSchema,
} from '@verbenabeam/admin-api';
import type {
  MoveStatus,
  MovesResponse,
  NodeStatus,
  StatusResponse,
} from '@verbenabeam/admin-api';
import {MOVE_CODES, MeshError, logger} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import type {MoveRecord} from '@verbenabeam/moves';
import {Result} from 'true-myth';
import {STATUS_LAG, lagResponseSchema} from '../distribution/lag-report.js';
import type {LagResponse} from '../distribution/lag-report.js';
import type {AdminContext} from './admin-context.js';
import {ADMISSION} from './admin-route.js';
import type {AdminCall, AdminRoute} from './admin-route.js';
import {parseBody} from './parse-body.js';

const log = logger('admin');
const peerTimeoutMs = 1_000;
/** Maximum number of nodes that are queried for one status request. */
const maxAsked = 200;
const operator = ADMISSION.operator;

/** Routes for the state of nodes, moves and the store. @internal */
export function statusRoutes(ctx: AdminContext): AdminRoute[] {
  return [
    {
      method: 'GET',
      path: '/v1/status',
      admission: operator,
      handle: async () => Result.ok(await status(ctx)),
    },
    {
      method: 'GET',
      path: '/v1/moves',
      admission: operator,
      handle: () => Promise.resolve(Result.ok(moves(ctx))),
    },
    {
      method: 'POST',
      path: '/v1/store/confirm-restore',
      admission: operator,
      handle: call => Promise.resolve(confirmRestore(ctx, call)),
    },
    {
      method: 'POST',
      path: '/v1/moves/:move/take-back',
      admission: operator,
      handle: call => Promise.resolve(takeBack(ctx, call)),
    },
  ];
}

async function status(ctx: AdminContext): Promise<StatusResponse> {
  const {membership, distribution, storeHealth} = ctx;
  const {version, hash, problem} = distribution.tracker.status;
  const {environment, nodeId} = membership.own;
  const rows = membership.live().filter(r => r.environment === environment);
  const highest = Math.max(version, ...rows.map(row => row.configVersion));
  const lagging = rows.filter(row => row.configVersion < highest);
  const reports = await askLagging(ctx, lagging.slice(0, maxAsked));
  return {
    nodeId,
    environment,
    configVersion: version,
    configHash: hash === '' ? null : hash,
    storeReachable: storeHealth.reachable,
    alarms: [problem, ctx.claims.problem]
      .filter(found => found !== null)
      .map(describeProblem),
    nodes: rows.map(row => nodeStatus(row, reports, highest)),
  };
}

function describeProblem({code, message}: MeshError) {
  return {code: code.code, name: code.name, message};
}

function nodeStatus(
  row: InstanceRecord,
  reports: ReadonlyMap<string, LagResponse>,
  highest: number,
): NodeStatus {
  const {nodeId, address, dataCentre, state, relay, upstream} = row;
  const report = reports.get(nodeId);
  const configVersion = Math.max(row.configVersion, report?.version ?? 0);
  const lags = configVersion < highest;
  return {
    nodeId,
    address,
    dataCentre,
    state,
    relay,
    service: upstream?.service ?? null,
    upstreamVersion: upstream?.version ?? null,
    upstreamState: upstream?.state ?? null,
    configVersion,
    lagReason: lags ? (report?.reason ?? 'not asked') : null,
  };
}

/**
 * Queries nodes for their version. The versions in the membership table come from
 * probes of one peer per second, so they lag behind the nodes themselves.
 */
async function askLagging(
  {bus}: AdminContext,
  rows: readonly InstanceRecord[],
): Promise<Map<string, LagResponse>> {
  const answers = rows.map(async ({nodeId, address}) => {
    const options = {timeoutMs: peerTimeoutMs};
    const res = await bus.request(address, STATUS_LAG, null, options);
    const parsed = lagResponseSchema.safeParse(res.unwrapOr(null));
    const silent = {version: 0, reason: 'the node does not respond'};
    return [nodeId, parsed.data ?? silent] as const;
  });
  return new Map(await Promise.all(answers));
}

function moves({membership, moves: service}: AdminContext): MovesResponse {
  return {
    environment: membership.own.environment,
    moves: service.gate.records().map(record => moveStatus(service, record)),
  };
}

function moveStatus(
  service: AdminContext['moves'],
  record: MoveRecord,
): MoveStatus {
  const stop = service.gate.stops().find(s => s.moveId === record.moveId);
  const {moveId, from, to, state, step, share} = record;
  return {
    moveId,
    service: record.service,
    from,
    to,
    state,
    step,
    share,
    reason: stop && state === 'running' ? stop.reason : record.reason,
    deadlineAt: record.deadline,
    stoppedHere: stop !== undefined,
    evidence: [...service.totals.of(moveId)],
  };
}

/**
 * Clears alarm 1708. Keys that ran after the backup of the store may then run
 * again.
 */
function confirmRestore(
  {claims}: AdminContext,
  {body}: AdminCall,
): Result<{confirmed: true}, MeshError> {
  const req = parseBody(confirmRestoreRequestSchema, body);
  if (req.isErr) return Result.err(req.error);
  log('Restore confirmed.', {author: req.value.author});
  claims.confirmRestore();
  return Result.ok({confirmed: true});
}

function takeBack(
  {moves: service}: AdminContext,
  {params, body}: AdminCall,
): Result<MoveStatus, MeshError> {
  const moveId = params['move'] ?? '';
  const req = parseBody(takeBackRequestSchema, body);
  if (req.isErr) return Result.err(req.error);
  return service.takeBack(moveId, req.value.author).andThen(() => {
    const record = service.gate.records().find(r => r.moveId === moveId);
    if (record) return Result.ok(moveStatus(service, record));
    const text = `no move has the id "${moveId}"`;
    return Result.err(new MeshError(MOVE_CODES.unknownMove, text));
  });
}

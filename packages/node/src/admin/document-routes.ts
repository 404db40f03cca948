import {
  promoteRequestSchema,
  reassertRequestSchema,
  submitRequestSchema,
} from '@verbenabeam/admin-api';
import type {
  CheckResponse,
  DiffResponse,
  HistoryResponse,
  VersionMeta,
} from '@verbenabeam/admin-api';
import {ACCESS_CODES, MeshError, newId} from '@verbenabeam/core';
import {checkDeadlines, compileInTurns} from '@verbenabeam/document';
import type {Change} from '@verbenabeam/document';
import type {Accepted} from '@verbenabeam/distribution';
import {Result} from 'true-myth';
import * as z from 'zod';
import type {AdminContext} from './admin-context.js';
import {ADMISSION} from './admin-route.js';
import type {AdminCall, AdminRoute} from './admin-route.js';
import {parseBody} from './parse-body.js';

const checkRequestSchema = z.strictObject({document: z.string()});
const operator = ADMISSION.operator;

/** Routes for documents and configuration versions. @internal */
export function documentRoutes(ctx: AdminContext): AdminRoute[] {
  const base = '/v1/environments/:environment';
  return [
    {
      method: 'POST',
      path: '/v1/documents/check',
      admission: operator,
      handle: call => Promise.resolve(check(ctx, call)),
    },
    {
      method: 'POST',
      path: `${base}/submit`,
      admission: operator,
      handle: call => submit(ctx, call),
    },
    {
      method: 'POST',
      path: `${base}/promote`,
      admission: operator,
      handle: call => promote(ctx, call),
    },
    {
      method: 'POST',
      path: `${base}/reassert`,
      admission: operator,
      handle: call => reassert(ctx, call),
    },
    {
      method: 'GET',
      path: `${base}/history`,
      admission: operator,
      handle: call => history(ctx, call),
    },
    {
      method: 'GET',
      path: `${base}/diff`,
      admission: operator,
      handle: call => diff(ctx, call),
    },
  ];
}

async function check(
  {clock}: AdminContext,
  {body}: AdminCall,
): Promise<Result<CheckResponse, MeshError>> {
  const req = parseBody(checkRequestSchema, body);
  if (req.isErr) return Result.err(req.error);
  const compiled = await compileInTurns(req.value.document);
  return compiled
    .andThen(document => checkDeadlines(document, clock.wallTime()))
    .map(({hash, services, routes, moves}) => ({
      hash,
      services: services.size,
      routes: routes.length,
      moves: moves.length,
    }));
}

async function submit(
  {distribution}: AdminContext,
  {params, body}: AdminCall,
): Promise<Result<VersionMeta, MeshError>> {
  const req = parseBody(submitRequestSchema, body);
  if (req.isErr) return Result.err(req.error);
  const {document, author, base} = req.value;
  const accepted = await distribution.submit({
    environment: params['environment'] ?? '',
    text: document,
    author,
    operationId: newId(),
    ...(base === undefined ? {} : {baseVersion: base}),
  });
  return answer(accepted);
}

async function promote(
  {distribution}: AdminContext,
  {params, body}: AdminCall,
): Promise<Result<VersionMeta, MeshError>> {
  const req = parseBody(promoteRequestSchema, body);
  if (req.isErr) return Result.err(req.error);
  const {from, version, author, base} = req.value;
  const accepted = await distribution.promote({
    environment: params['environment'] ?? '',
    from: {environment: from, version},
    author,
    operationId: newId(),
    ...(base === undefined ? {} : {baseVersion: base}),
  });
  return answer(accepted);
}

/** Reasserts the environment of this node; 1903 for another environment. */
async function reassert(
  {distribution}: AdminContext,
  {params, body}: AdminCall,
): Promise<Result<VersionMeta, MeshError>> {
  const req = parseBody(reassertRequestSchema, body);
  if (req.isErr) return Result.err(req.error);
  const environment = params['environment'] ?? '';
  const active = distribution.current();
  if (active?.environment !== environment) {
    const text = `this node has no active version of "${environment}"`;
    return Result.err(new MeshError(ACCESS_CODES.badRequest, text));
  }
  const {author} = req.value;
  const operator = {author, operationId: newId()};
  return answer(await distribution.reassert(active, operator));
}

async function history(
  {distribution}: AdminContext,
  {params}: AdminCall,
): Promise<Result<HistoryResponse, MeshError>> {
  const environment = params['environment'] ?? '';
  const found = await distribution.acceptance.archive.history(environment);
  return found.map(versions => ({environment, versions: [...versions]}));
}

async function diff(
  {distribution}: AdminContext,
  {params, query}: AdminCall,
): Promise<Result<DiffResponse, MeshError>> {
  const from = Number(query.get('from'));
  const to = Number(query.get('to'));
  if (!Number.isInteger(from) || !Number.isInteger(to)) {
    const text = 'query "from" and "to" must be version numbers';
    return Result.err(new MeshError(ACCESS_CODES.badRequest, text));
  }
  const {archive} = distribution.acceptance;
  const found = await archive.diff(params['environment'] ?? '', from, to);
  return found.map(changes => ({changes: changes.map(describeChange)}));
}

/** Returns the metadata. Converts the changes in a conflict error to text. */
function answer(
  accepted: Result<Accepted, MeshError>,
): Result<VersionMeta, MeshError> {
  return accepted
    .map(({metadata}) => ({...metadata}))
    .mapErr(err => {
      const {changes, ...rest} = err.details;
      if (!Array.isArray(changes)) return err;
      const lines = (changes as Change[]).map(describeChange);
      return new MeshError(err.code, err.message, {...rest, changes: lines});
    });
}

function describeChange(change: Change): string {
  return change.text;
}

import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {CALL_CODES, MeshError} from '@verbenabeam/core';
import {parseRetriesLeft} from '@verbenabeam/routing';

/** Headers of the native protocol, in lower case. @public */
export const CALL_HEADERS = {
  callId: 'vb-call-id',
  deadlineMs: 'vb-deadline-ms',
  depth: 'vb-depth',
  retriesLeft: 'vb-retries-left',
  caller: 'vb-caller',
  idempotencyKey: 'idempotency-key',
  result: 'vb-result',
  configVersion: 'vb-config-version',
  notRun: 'vb-not-run',
} as const;

/** Properties of a call that its caller sets by headers. @internal */
export interface CallerHeaders {
  readonly parentCallId: string | null;
  /** Time that the caller waits, in ms; infinite without the header. */
  readonly deadlineMs: number;
  readonly depth: number;
  readonly retriesLeft: number;
  readonly callerClass: string;
  readonly idempotencyKey: string | null;
  /** Body length; 0 without a body, null if not known in advance. */
  readonly bodyBytes: number | null;
}

const maxKeyLength = 255;
const defaultCallerClass = 'other';

/** Hop-by-hop headers: they apply to one connection and are not forwarded. */
const hopByHopHeaders = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that the node sets itself. */
const ownHeaders = new Set<string>([
  CALL_HEADERS.callId,
  CALL_HEADERS.deadlineMs,
  CALL_HEADERS.depth,
  CALL_HEADERS.retriesLeft,
  CALL_HEADERS.result,
  CALL_HEADERS.configVersion,
]);

const noNames: ReadonlySet<string> = new Set();

/** Parses the native headers. Malformed ones yield `calls.badRequest`. */
export function readCallerHeaders(
  req: IncomingMessage,
): Result<CallerHeaders, MeshError> {
  const {headers} = req;
  const deadlineMs = readNumber(headers[CALL_HEADERS.deadlineMs], Infinity);
  const depth = readNumber(headers[CALL_HEADERS.depth], 0);
  const retries = headers[CALL_HEADERS.retriesLeft]?.toString();
  if (deadlineMs === null) return malformed(CALL_HEADERS.deadlineMs);
  if (depth === null) return malformed(CALL_HEADERS.depth);
  if (readNumber(retries, 0) === null)
    return malformed(CALL_HEADERS.retriesLeft);
  const key = first(headers[CALL_HEADERS.idempotencyKey]);
  if (key !== null && (key === '' || key.length > maxKeyLength)) {
    return malformed(CALL_HEADERS.idempotencyKey);
  }
  return Result.ok({
    parentCallId: first(headers[CALL_HEADERS.callId]),
    deadlineMs,
    depth,
    retriesLeft: parseRetriesLeft(retries),
    callerClass: first(headers[CALL_HEADERS.caller]) ?? defaultCallerClass,
    idempotencyKey: key,
    bodyBytes: bodyBytesOf(req),
  });
}

/**
 * Headers that may be forwarded, as a flat list of names and values.
 *
 * @param dropped - Names of further headers to drop, in lower case.
 */
export function forwardableHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string> = noNames,
): string[] {
  const listed = connectionNames(raw);
  const forwarded: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] as string;
    const lower = name.toLowerCase();
    if (hopByHopHeaders.has(lower) || ownHeaders.has(lower)) continue;
    if (dropped.has(lower)) continue;
    if (listed?.includes(lower)) continue;
    forwarded.push(name, raw[i + 1] as string);
  }
  return forwarded;
}

/**
 * Value of a header in a flat list; null if it is absent.
 *
 * @param name - In lower case.
 */
export function headerValue(
  headers: readonly string[],
  name: string,
): string | null {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const candidate = headers[i] as string;
    if (candidate.length === name.length && candidate.toLowerCase() === name) {
      return headers[i + 1] as string;
    }
  }
  return null;
}

/** Further hop-by-hop headers, which the `connection` header names. */
function connectionNames(raw: readonly string[]): string[] | null {
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const value = raw[i + 1] as string;
    if (raw[i]?.toLowerCase() !== 'connection') continue;
    if (value === 'keep-alive' || value === 'close') return null;
    return value.split(',').map(name => name.trim().toLowerCase());
  }
  return null;
}

/** Body length; 0 without a body, null if not known in advance. */
export function bodyBytesOf({headers}: IncomingMessage): number | null {
  if (headers['transfer-encoding'] !== undefined) return null;
  return Number(headers['content-length'] ?? 0);
}

function first(value: string | string[] | undefined): string | null {
  return (Array.isArray(value) ? value[0] : value) ?? null;
}

/** Parses a header as a non-negative integer; null if it is present but malformed. */
function readNumber(
  value: string | string[] | undefined,
  absent: number,
): number | null {
  if (value === undefined) return absent;
  const text = String(value);
  return /^\d{1,9}$/.test(text) ? Number(text) : null;
}

function malformed(header: string): Result<never, MeshError> {
  return Result.err(
    new MeshError(CALL_CODES.badRequest, `Header ${header} is malformed`),
  );
}

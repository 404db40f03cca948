import type {LoadReport} from '@verbenabeam/routing';

/** Kind of the streams that carry calls. @public */
export const CALL_STREAM = 'call';

/** First message of a call from the entry node to the serving node. @public */
export interface CallHead {
  readonly callId: string;
  readonly service: string;
  readonly version: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Time until the deadline when the head was sent, in ms. */
  readonly remainingMs: number;
  /** Depth that is passed to the upstream: that of the caller plus 1. */
  readonly depth: number;
  readonly retriesLeft: number;
  readonly routeName: string;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Time left until the call exceeds its target latency, in ms; negative afterwards. */
  readonly targetMs: number;
  /** Caller class from the request at the entry node. */
  readonly callerClass: string;
  /** Body length; 0 without a body, null if not known in advance. */
  readonly bodyBytes: number | null;
  /** Flat list of names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
}

/** First message of a response. @public */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly string[];
  /** Retries that came with the call and were not used; undefined if not reported. */
  readonly retriesLeft?: number | undefined;
}

/** Last message of a response, with which the entry node verifies it. @public */
export interface ResponseTrailer {
  readonly callId: string;
  readonly bodyBytes: number;
  readonly load: LoadReport;
  /** Whether only upstreams make calls of the route. */
  readonly isSubCall: boolean;
}

/** Encodes as an array: field names would take a third of the frame. @internal */
export function encodeCallHead(h: CallHead): unknown[] {
  return [
    h.callId,
    h.service,
    h.version,
    h.method,
    h.path,
    h.remainingMs,
    h.depth,
    h.retriesLeft,
    h.routeName,
    h.priority,
    h.targetMs,
    h.callerClass,
    h.bodyBytes,
    h.headers,
  ];
}

/** Decodes the result of {@link encodeCallHead}; null if malformed. @internal */
export function decodeCallHead(value: unknown): CallHead | null {
  if (!Array.isArray(value)) return null;
  const [callId, service, version, method, path, ...rest] =
    value as readonly unknown[];
  const [remainingMs, depth, retriesLeft, routeName, ...tail] = rest;
  const [priority, targetMs, callerClass, bodyBytes, headers] = tail;
  const valid =
    [callId, service, version, method, path].every(isString) &&
    [routeName, callerClass].every(isString) &&
    [remainingMs, depth, retriesLeft, priority, targetMs].every(isNumber) &&
    (bodyBytes === null || isNumber(bodyBytes)) &&
    isHeaderList(headers);
  if (!valid) return null;
  return {
    callId,
    service,
    version,
    method,
    path,
    remainingMs,
    depth,
    retriesLeft,
    routeName,
    priority,
    targetMs,
    callerClass,
    bodyBytes,
    headers,
  } as CallHead;
}

/** @internal */
export function encodeResponseHead(head: ResponseHead): unknown[] {
  return [head.status, head.headers, head.retriesLeft];
}

/** @internal */
export function decodeResponseHead(value: unknown): ResponseHead | null {
  if (!Array.isArray(value)) return null;
  const [status, headers, retriesLeft] = value as readonly unknown[];
  if (!isNumber(status) || !isHeaderList(headers)) return null;
  return {
    status,
    headers,
    retriesLeft: isNumber(retriesLeft) ? retriesLeft : undefined,
  };
}

/** @internal */
export function encodeTrailer(trailer: ResponseTrailer) {
  const {callId, bodyBytes, load, isSubCall} = trailer;
  return [callId, bodyBytes, ...encodeLoad(load), Number(isSubCall)];
}

/** @internal */
export function decodeTrailer(value: unknown): ResponseTrailer | null {
  if (!Array.isArray(value)) return null;
  const [callId, bodyBytes, ...rest] = value as readonly unknown[];
  const report = decodeLoad(rest);
  if (!isString(callId) || !isNumber(bodyBytes) || !report) return null;
  const isSubCall = rest[loadFields] === 1;
  return {callId, bodyBytes, load: report, isSubCall};
}

/** Number of fields that `encodeLoad` makes. */
const loadFields = 4;

/** @internal */
export function encodeLoad(load: LoadReport): number[] {
  return [load.inFlight, load.queued, load.slots, load.serviceMs];
}

/** @internal */
export function decodeLoad(value: unknown): LoadReport | null {
  if (!Array.isArray(value) || !value.every(isNumber)) return null;
  const [inFlight, queued, slots, serviceMs] = value;
  if (serviceMs === undefined) return null;
  return {inFlight, queued, slots, serviceMs} as LoadReport;
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function isHeaderList(value: unknown): value is string[] {
  return (
    Array.isArray(value) && value.length % 2 === 0 && value.every(isString)
  );
}

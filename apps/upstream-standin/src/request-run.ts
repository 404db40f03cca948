import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** How one request is answered; read from its query. @internal */
export interface RunPlan {
  /** Service time in ms. */
  readonly serviceMs: number;
  readonly status: number;
  /** Size of a generated body; null echoes the request's body. */
  readonly bytes: number | null;
  /** Pieces of a generated body. */
  readonly chunks: number;
  /** Time between pieces in ms. */
  readonly gapMs: number;
}

/** Query parameters `ms`, `status`, `bytes`, `chunks` and `gap`. @internal */
export function planOf(url: URL, serviceMs: number): RunPlan {
  const number = (name: string, other: number) =>
    Number(url.searchParams.get(name) ?? other);
  return {
    serviceMs: number('ms', serviceMs),
    status: number('status', 200),
    bytes: url.searchParams.has('bytes') ? number('bytes', 0) : null,
    chunks: number('chunks', 1),
    gapMs: number('gap', 0),
  };
}

/** Runs a request: waits, then answers with a body. @internal */
export async function runRequest(
  req: IncomingMessage,
  res: ServerResponse,
  plan: RunPlan,
  signal: AbortSignal,
): Promise<void> {
  if (plan.serviceMs > 0) await sleep(plan.serviceMs, null, {signal});
  const callId = req.headers['vb-call-id'] ?? '';
  const hasBody =
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined;
  if (plan.bytes !== null) {
    req.resume();
    res.writeHead(plan.status, {'x-standin-call': callId});
    await sendGenerated(res, plan, String(req.url), signal);
  } else if (hasBody) {
    res.writeHead(plan.status, echoHeaders(req));
    for await (const chunk of req) res.write(chunk);
    res.end();
  } else {
    res.writeHead(plan.status, {'x-standin-call': callId});
    res.end(`${req.method} ${req.url} ${String(callId)}`);
  }
}

/** The generated body repeats the URL, so callers can tell bodies apart. */
async function sendGenerated(
  res: ServerResponse,
  {bytes, chunks, gapMs}: RunPlan,
  url: string,
  signal: AbortSignal,
): Promise<void> {
  const total = bytes ?? 0;
  const whole = Buffer.alloc(total, url);
  const size = Math.max(1, Math.ceil(total / chunks));
  for (let at = 0; at < total; at += size) {
    if (at > 0 && gapMs > 0) await sleep(gapMs, null, {signal});
    res.write(whole.subarray(at, at + size));
  }
  res.end();
}

function echoHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {
    'x-standin-call': String(req.headers['vb-call-id'] ?? ''),
  };
  const length = req.headers['content-length'];
  if (length !== undefined) headers['content-length'] = length;
  return headers;
}

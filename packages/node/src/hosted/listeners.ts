import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {logger} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {Result} from 'true-myth';
import type {NodeMetrics} from '../metrics/node-metrics.js';
import type {UpstreamFormat, UpstreamMessage} from './upstream-report.js';

const ok = 200;
const notFound = 404;
const unavailable = 503;
const tooLarge = 413;
/** Clients of these listeners run on the same machine or are the platform. */
const keepAliveTimeoutMs = 30_000;
/** Bytes read beyond the limit, so that the sender can read its refusal. */
const maxDiscardedBytes = 1_048_576;
const log = logger('upstream');

/** Serves readiness checks. @internal */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
): Server {
  return createServer({keepAliveTimeout: keepAliveTimeoutMs}, (req, res) => {
    const isKnown = req.method === 'GET' && req.url === path;
    if (!isKnown) send(res, notFound);
    else send(res, isReady() ? ok : unavailable);
  });
}

/** Serves the heartbeats of the upstream beside the node. @internal */
export function createAnnouncementServer(
  format: UpstreamFormat,
  accept: (message: UpstreamMessage) => Result<true, MeshError>,
): Server {
  return createServer({keepAliveTimeout: keepAliveTimeoutMs}, (req, res) => {
    void readBody(req, format.maxBodyBytes).then(body => {
      if (body === null) {
        log('Heartbeat refused: body too long or incomplete.', {path: req.url});
        // The connection cannot be reused while part of the body is unread.
        res.shouldKeepAlive = req.complete;
        send(res, tooLarge);
        return;
      }
      const parsed = format.parse(req.method ?? '', req.url ?? '', body);
      const accepted = parsed.andThen<true | null>(message =>
        message === null ? parsed.map(() => null) : accept(message),
      );
      if (accepted.isErr) {
        const {code, message} = accepted.error;
        log('Heartbeat refused.', {path: req.url, code: code.code, message});
        send(res, code.http, {code: code.code, message});
      } else {
        send(res, accepted.value === null ? notFound : ok);
      }
    });
  });
}

/** Serves the metrics in the Prometheus text format. @internal */
export function createMetricsServer(metrics: NodeMetrics): Server {
  return createServer((_req, res) => {
    void metrics.render().then(text => {
      res.writeHead(ok, {'content-type': metrics.contentType});
      res.end(text);
    });
  });
}

/** Null if the body exceeds the limit or is cut off. */
function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | null> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else if (bytes > maxBytes + maxDiscardedBytes) resolve(null);
    });
    req.on('end', () =>
      resolve(bytes > maxBytes ? null : Buffer.concat(chunks)),
    );
    req.on('error', () => resolve(null));
  });
}

function send(res: ServerResponse, status: number, body: object = {}): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

import http from 'node:http';
import {failOnReset, testHost} from '@verbenabeam/platform/fakes';

/** How a request is sent. */
export interface AskOptions {
  readonly path?: string;
  /** Keeps connections; default a new connection. */
  readonly agent?: http.Agent | undefined;
  /** Time in ms after which the caller leaves; default never. */
  readonly leaveAfterMs?: number;
}

/** Status of a request at a node; 0 without a whole answer. */
export function askNode(
  address: string,
  id: string,
  {path = '/a', agent, leaveAfterMs}: AskOptions = {},
): Promise<number> {
  const headers = {host: testHost, 'request-id': id, 'deadline-ms': '1000'};
  return new Promise(resolve => {
    const req = http.get(`http://${address}${path}`, {
      headers,
      agent: agent ?? false,
      ...(leaveAfterMs === undefined
        ? {}
        : {signal: AbortSignal.timeout(leaveAfterMs)}),
    });
    failOnReset(req);
    req.on('error', () => resolve(0));
    req.on('response', res => {
      res.resume();
      res.on('error', () => resolve(0));
      res.on('end', () => resolve(res.statusCode ?? 0));
      res.on('close', () => resolve(0));
    });
  });
}

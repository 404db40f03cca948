import http from 'node:http';
import {testHost} from '@verbenabeam/platform/fakes';

/**
 * Status of a request at a node; 0 if the connection ended without one.
 *
 * @param agent - Keeps connections; default a new connection.
 */
export function askNode(
  address: string,
  id: string,
  agent: http.Agent | false = false,
): Promise<number> {
  const headers = {host: testHost, 'request-id': id, 'deadline-ms': '1000'};
  return new Promise(resolve => {
    const req = http.get(`http://${address}/a`, {headers, agent});
    req.on('error', () => resolve(0));
    req.on('response', res => {
      res.resume();
      res.on('end', () => resolve(res.statusCode ?? 0));
    });
  });
}

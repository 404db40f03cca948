import http from 'node:http';
import {testHost} from '@verbenabeam/platform/fakes';

/** A caller leaves after this time in ms, twice its time limit. */
const leaveAfterMs = 2_000;

/** Status of a request at a node; 0 without a whole answer. */
export function askNode(
  address: string,
  id: string,
  path = '/a',
): Promise<number> {
  const headers = {host: testHost, 'request-id': id, 'deadline-ms': '1000'};
  return new Promise(resolve => {
    const signal = AbortSignal.timeout(leaveAfterMs);
    const options = {headers, agent: false, signal};
    const req = http.get(`http://${address}${path}`, options);
    req.on('error', () => resolve(0));
    req.on('response', res => {
      res.resume();
      res.on('error', () => resolve(0));
      res.on('end', () => resolve(res.statusCode ?? 0));
      res.on('close', () => resolve(0));
    });
  });
}

import http from 'node:http';
import {failOnReset, testHost} from '@verbenabeam/platform/fakes';
import {PORTS} from './addresses.js';

const timeoutMs = 1_000;

/** Asks nodes for what the checks need, beside the calls of the load. */
export class Prober {
  readonly #agent = new http.Agent({keepAlive: true});

  stop(): void {
    this.#agent.destroy();
  }

  /** Status of a request; 0 if there was no answer. */
  ask(host: string, path: string): Promise<number> {
    const headers = {
      host: testHost,
      'request-id': 'probe',
      'deadline-ms': String(timeoutMs),
    };
    return new Promise(resolve => {
      const req = http.get({
        host,
        port: PORTS.callers,
        path,
        agent: this.#agent,
        timeout: timeoutMs,
        headers,
      });
      failOnReset(req);
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
      req.on('response', res => {
        res.on('error', () => resolve(0));
        res.on('end', () => resolve(res.statusCode ?? 0));
        res.resume();
      });
    });
  }
}

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {TestNode} from './test-node.js';

/** A response that was read to its end. */
export interface TestResponse {
  status: number;
  body: Buffer;
  code: number;
  callId: string;
  notRun: boolean;
}

/** A caller with its own connection pool. */
export class TestClient {
  /** @param agent - Connection pool to use. */
  constructor(readonly agent = new Agent()) {}

  send(
    node: TestNode,
    path: string,
    headers: Record<string, string> = {},
    body?: Buffer,
  ) {
    const method = body || path.startsWith('/write') ? 'POST' : 'GET';
    const options = {method, headers, body, dispatcher: this.agent} as const;
    return request(node.url + path, options);
  }

  async call(...args: Parameters<TestClient['send']>): Promise<TestResponse> {
    const res = await this.send(...args);
    const body = Buffer.from(await res.body.arrayBuffer());
    const code = Number(res.headers['vb-result']);
    const callId = String(res.headers['vb-call-id']);
    const notRun = res.headers['vb-not-run'] === 'true';
    if (code !== 1600) {
      const json = JSON.parse(body.toString()) as Record<string, unknown>;
      assert.equal(json['code'], code);
      assert.equal(json['notRun'], notRun);
      assert.ok(json['name'] && json['message']);
    }
    return {status: res.statusCode, body, code, callId, notRun};
  }

  /**
   * Calls a path whose generated body repeats its own URL. Returns whether the
   * response is complete.
   */
  async getsWhole(node: TestNode, path: string, size: number) {
    const {body, status} = await this.call(node, path);
    return status === 200 && body.equals(Buffer.alloc(size, path));
  }

  /** Sends a body to an echo. Returns whether the response is complete. */
  async getsEcho(node: TestNode, path: string, sent: Buffer) {
    const {body, status} = await this.call(node, path, {}, sent);
    return status === 200 && body.equals(sent);
  }

  /** Sends a call and disconnects once `until` resolves, before the response. */
  async leaves(node: TestNode, path: string, until: () => Promise<void>) {
    const leaving = new AbortController();
    const {signal} = leaving;
    const options = {signal, dispatcher: this.agent};
    const left = assert.rejects(request(node.url + path, options));
    await until();
    leaving.abort();
    await left;
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}

/** Waits until a condition holds; fails after `limitMs`. */
export async function waitUntil(
  holds: () => boolean,
  limitMs = 3000,
): Promise<void> {
  const end = performance.now() + limitMs;
  while (!holds()) {
    assert.ok(performance.now() < end, `not true within ${limitMs} ms`);
    await sleep(3);
  }
}

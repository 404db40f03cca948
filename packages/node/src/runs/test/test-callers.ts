import {Agent, request} from 'undici';
import type {TestInstance} from './test-instance.js';
import type {TestMesh} from './test-mesh.js';

/** Result code of a request that may have run and whose result was lost. */
const outcomeUnknown = 1607;
const okCode = 1600;
/**
 * Time until a peer detects a broken connection; calls sent before that may be
 * lost.
 */
const detectionMs = 400;
const maxWriteBytes = 8_000;
const largeBytes = 1_500_000;

/** Result of a call as observed by its caller. */
export type CallResult = 'ok' | 'refused' | 'cut' | 'cancelled';

/** A call and its expected response. */
export interface TestCall {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer;
  /** Body of a successful response. */
  readonly expected: Buffer;
  readonly cancelMs?: number;
}

/** An idempotency key and the body that is always sent with it. */
export interface KeyedWrite {
  readonly key: string;
  readonly body: Buffer;
}

/** Sends calls and checks their responses. */
export class TestCallers {
  /** Ids of calls that were refused with the statement that the call had not run. */
  readonly notRun = new Set<string>();
  /** Keys, or ids of calls without a key, that got a successful response. */
  readonly answered = new Set<string>();
  readonly writes: KeyedWrite[] = [];
  lastRefusal = '';
  readonly counts: Record<string, number> = {};
  readonly #mesh: TestMesh;
  readonly #agent = new Agent({connect: {timeout: 1_000}});
  #calls = 0;

  constructor(mesh: TestMesh) {
    this.#mesh = mesh;
  }

  /** Returns a path that no other call uses; generated bodies repeat it. */
  path(prefix: string, query: string): string {
    return `${prefix}?id=${++this.#calls}${query}`;
  }

  read(instance: TestInstance, query = '', extra: Partial<TestCall> = {}) {
    const path = this.path('/read', `&bytes=500${query}`);
    const expected = Buffer.alloc(500, path);
    return this.send(instance, {method: 'GET', path, expected, ...extra});
  }

  large(instance: TestInstance, choice: number, query: string) {
    const size = 100_000 + ((choice * 149) % largeBytes);
    const path = this.path('/read', `&bytes=${size}${query}`);
    const expected = Buffer.alloc(size, path);
    return this.send(instance, {method: 'GET', path, expected});
  }

  put(instance: TestInstance, choice: number) {
    const path = this.path('/put', '');
    const body = Buffer.alloc(100_000 + choice * 40, path);
    const call = {method: 'PUT', path, body, expected: body} as const;
    return this.send(instance, call);
  }

  /**
   * Creates a key. Its body is small enough for the node to store the response.
   */
  newWrite(choice: number): KeyedWrite {
    const key = `key-${this.writes.length}`;
    const body = Buffer.alloc(1 + (choice % maxWriteBytes), `${key} `);
    this.writes.push({key, body});
    return {key, body};
  }

  write(
    instance: TestInstance,
    {key, body}: KeyedWrite,
    query = '',
    cancelMs?: number,
  ) {
    const path = this.path('/write', query);
    const headers = {'idempotency-key': key};
    const cancel = cancelMs === undefined ? {} : {cancelMs};
    const call = {method: 'POST', path, headers, body, ...cancel} as const;
    return this.send(instance, {...call, expected: body});
  }

  /** Sends a call, checks its response and counts the result. */
  async send(instance: TestInstance, call: TestCall): Promise<CallResult> {
    const sentAt = Date.now();
    const end = await this.#send(instance, call, sentAt);
    const kind = `${call.path.split('?')[0] ?? ''} ${end}`;
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
    return end;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #send(
    instance: TestInstance,
    call: TestCall,
    sentAt: number,
  ): Promise<CallResult> {
    const {method, path, headers, body, cancelMs} = call;
    const {seenVersion, startedAt} = instance;
    const signal =
      cancelMs === undefined ? undefined : AbortSignal.timeout(cancelMs);
    try {
      const res = await request(`http://${instance.addresses.callers}${path}`, {
        method,
        dispatcher: this.#agent,
        ...(headers ? {headers} : {}),
        ...(body ? {body} : {}),
        ...(signal ? {signal} : {}),
      });
      const got = Buffer.from(await res.body.arrayBuffer());
      const version = Number(res.headers['vb-config-version']);
      if (instance.startedAt === startedAt)
        this.#checkVersion(instance, seenVersion, version);
      const code = Number(res.headers['vb-result']);
      const callId = String(res.headers['vb-call-id']);
      if (code !== okCode)
        return this.#handleRefusal(got, code, callId, sentAt);
      if (!got.equals(call.expected)) {
        this.#addViolation(
          `${path} on ${instance.name}: unexpected body (${got.length} bytes)`,
        );
      }
      this.answered.add(headers?.['idempotency-key'] ?? callId);
      return 'ok';
    } catch (err) {
      if (signal?.aborted) return 'cancelled';
      if (!this.#mayBeCut(instance, sentAt)) {
        this.#addViolation(
          `${path} on ${instance.name} was cut: ${String(err)}`,
        );
      }
      return 'cut';
    }
  }

  #handleRefusal(
    body: Buffer,
    code: number,
    callId: string,
    sentAt: number,
  ): CallResult {
    const text = body.toString();
    const fields = JSON.parse(text) as {code: number; notRun: boolean};
    if (fields.code !== code || Number.isNaN(code)) {
      this.#addViolation(`refusal ${code} has the body ${text}`);
    }
    if (fields.notRun) this.notRun.add(callId);
    this.lastRefusal = text;
    this.counts[code] = (this.counts[code] ?? 0) + 1;
    if (code === outcomeUnknown && !this.#wasDisrupted(sentAt)) {
      this.#addViolation(
        `call ${callId} was lost without an injected fault: ${text}`,
      );
    }
    return 'refused';
  }

  #checkVersion(instance: TestInstance, before: number, version: number): void {
    if (version > 0 && version < before) {
      this.#addViolation(`${instance.name} served ${version} after ${before}`);
    }
    instance.seenVersion = Math.max(instance.seenVersion, version);
  }

  /** After a planned stop begins, only calls that are sent later may be interrupted. */
  #mayBeCut(instance: TestInstance, sentAt: number): boolean {
    const gone = instance.stopBeganAt > 0 && sentAt >= instance.stopBeganAt;
    return gone || this.#wasDisrupted(sentAt);
  }

  #wasDisrupted(sentAt: number): boolean {
    return this.#mesh.disruptions.some(at => at >= sentAt - detectionMs);
  }

  #addViolation(text: string): void {
    this.#mesh.violations.add(text);
  }
}

import {Agent, request} from 'undici';
import type {RunMember} from './run-member.js';
import type {RunWorld} from './run-world.js';

/** A result code that means "the request may have run, and was lost". */
const outcomeUnknown = 1607;
const okCode = 1600;
/** Time in which a peer learns of a cut; calls sent meanwhile may be lost. */
const noticeMs = 400;
const keptBytes = 8_000;
const largeBytes = 1_500_000;

/** How a call ended for its caller. */
export type CallEnd = 'ok' | 'refused' | 'cut' | 'cancelled';

/** A call that a caller makes. */
export interface RunCall {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer;
  /** Body of a whole answer. */
  readonly expected: Buffer;
  readonly cancelMs?: number;
}

/** A key that callers send, with the one body that belongs to it. */
export interface KeyedWrite {
  readonly key: string;
  readonly body: Buffer;
}

/** Sends calls and checks what the callers see. */
export class RunCallers {
  /** Call ids that were refused as not run. */
  readonly notRun = new Set<string>();
  /** Call ids and keys that were answered. */
  readonly answered = new Set<string>();
  readonly writes: KeyedWrite[] = [];
  lastRefusal = '';
  readonly counts: Record<string, number> = {};
  readonly #world: RunWorld;
  readonly #agent = new Agent({connect: {timeout: 1_000}});
  #calls = 0;

  constructor(world: RunWorld) {
    this.#world = world;
  }

  /** A path that no other call has; generated bodies repeat it. */
  path(prefix: string, query: string): string {
    return `${prefix}?id=${++this.#calls}${query}`;
  }

  read(member: RunMember, query = '', extra: Partial<RunCall> = {}) {
    const path = this.path('/read', `&bytes=500${query}`);
    const expected = Buffer.alloc(500, path);
    return this.send(member, {method: 'GET', path, expected, ...extra});
  }

  large(member: RunMember, choice: number, query: string) {
    const size = 100_000 + ((choice * 149) % largeBytes);
    const path = this.path('/read', `&bytes=${size}${query}`);
    const expected = Buffer.alloc(size, path);
    return this.send(member, {method: 'GET', path, expected});
  }

  put(member: RunMember, choice: number) {
    const path = this.path('/put', '');
    const body = Buffer.alloc(100_000 + choice * 40, path);
    const call = {method: 'PUT', path, body, expected: body} as const;
    return this.send(member, call);
  }

  /** Creates a key; its body is small enough for the answer to be kept. */
  newWrite(choice: number): KeyedWrite {
    const key = `key-${this.writes.length}`;
    const body = Buffer.alloc(1 + (choice % keptBytes), `${key} `);
    this.writes.push({key, body});
    return {key, body};
  }

  write(
    member: RunMember,
    {key, body}: KeyedWrite,
    query = '',
    cancelMs?: number,
  ) {
    const path = this.path('/write', query);
    const headers = {'idempotency-key': key};
    const cancel = cancelMs === undefined ? {} : {cancelMs};
    const call = {method: 'POST', path, headers, body, ...cancel} as const;
    return this.send(member, {...call, expected: body});
  }

  /** Sends a call, checks its end, and counts it. */
  async send(member: RunMember, call: RunCall): Promise<CallEnd> {
    const sentAt = Date.now();
    const end = await this.#send(member, call, sentAt);
    const kind = `${call.path.split('?')[0] ?? ''} ${end}`;
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
    return end;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #send(
    member: RunMember,
    call: RunCall,
    sentAt: number,
  ): Promise<CallEnd> {
    const {method, path, headers, body, cancelMs} = call;
    const {seenVersion, upAt} = member;
    const signal =
      cancelMs === undefined ? undefined : AbortSignal.timeout(cancelMs);
    try {
      const res = await request(`http://${member.addresses.callers}${path}`, {
        method,
        dispatcher: this.#agent,
        ...(headers ? {headers} : {}),
        ...(body ? {body} : {}),
        ...(signal ? {signal} : {}),
      });
      const got = Buffer.from(await res.body.arrayBuffer());
      const version = Number(res.headers['vb-config-version']);
      if (member.upAt === upAt)
        this.#checkVersion(member, seenVersion, version);
      const code = Number(res.headers['vb-result']);
      const callId = String(res.headers['vb-call-id']);
      if (code !== okCode) return this.#refused(got, code, callId, sentAt);
      if (!got.equals(call.expected)) {
        this.#violate(
          `${path} on ${member.name}: another body (${got.length})`,
        );
      }
      this.answered.add(headers?.['idempotency-key'] ?? callId);
      return 'ok';
    } catch (err) {
      if (signal?.aborted) return 'cancelled';
      if (!this.#mayBeCut(member, sentAt)) {
        this.#violate(`${path} on ${member.name} was cut: ${String(err)}`);
      }
      return 'cut';
    }
  }

  #refused(
    body: Buffer,
    code: number,
    callId: string,
    sentAt: number,
  ): CallEnd {
    const text = body.toString();
    const fields = JSON.parse(text) as {code: number; notRun: boolean};
    if (fields.code !== code || Number.isNaN(code)) {
      this.#violate(`refusal ${code} has the body ${text}`);
    }
    if (fields.notRun) this.notRun.add(callId);
    this.lastRefusal = text;
    this.counts[code] = (this.counts[code] ?? 0) + 1;
    if (code === outcomeUnknown && !this.#hasCause(sentAt)) {
      this.#violate(`call ${callId} was lost without a fault: ${text}`);
    }
    return 'refused';
  }

  #checkVersion(member: RunMember, before: number, version: number): void {
    if (version > 0 && version < before) {
      this.#violate(`${member.name} served ${version} after ${before}`);
    }
    member.seenVersion = Math.max(member.seenVersion, version);
  }

  /** A planned stop excuses only calls that were sent after it began. */
  #mayBeCut(member: RunMember, sentAt: number): boolean {
    const gone = member.endAt > 0 && sentAt >= member.endAt;
    return gone || this.#hasCause(sentAt);
  }

  #hasCause(sentAt: number): boolean {
    return this.#world.causes.some(at => at >= sentAt - noticeMs);
  }

  #violate(text: string): void {
    this.#world.violations.add(text);
  }
}

import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {CallerResponse} from './caller-response.js';
import {MemoryBudget} from './memory-budget.js';
import {nativeProtocol} from './native-protocol.js';

const firstPartBytes = 1_000;
const ok = 200;
const protocol = {...nativeProtocol, maxBufferedResponseBytes: firstPartBytes};
const metadata = {callId: 'c-1', configVersion: 1};

/** Ways in which a response stops to be held. */
const ends: Record<string, (held: HeldResponse) => void> = {
  ends: ({response, res}) => {
    response.end();
    res.emit('close');
  },
  'is dropped with its connection': ({response, res}) => {
    response.end();
    res.req.socket.emit('close');
  },
  'is read slowly': ({response}) => response.end(),
  'is cancelled': ({response}) => response.release(),
  'is replaced': ({response}) => response.discardBuffered(),
};

interface HeldResponse {
  readonly response: CallerResponse;
  readonly res: ServerResponse;
}

let memory = new MemoryBudget(0);
let responses = new Map<string, HeldResponse>();
let ended = new Set<string>();
let givenUp: string[] = [];

function begin(
  name: string,
  req = new IncomingMessage(new Socket()),
  headers: readonly string[] = [],
): HeldResponse {
  const res = new ServerResponse(req);
  const options = {
    protocol,
    metadata,
    keepCopy: false,
    memory,
    onNoMemory: () => givenUp.push(name),
  };
  const response = new CallerResponse(res, options);
  response.sendHead({status: ok, headers}, 0, 0);
  const held = {response, res};
  responses.set(name, held);
  return held;
}

function begun(): string[] {
  return [...responses]
    .filter(([name, {res}]) => res.headersSent && !ended.has(name))
    .map(([name]) => name);
}

Given(
  'responses without a length that share {int} bytes of memory',
  (bytes: number) => {
    memory = new MemoryBudget(bytes);
    responses = new Map();
    ended = new Set();
    givenUp = [];
  },
);

When(
  'the responses {string} and {string} get {int} bytes each',
  (a: string, b: string, bytes: number) => {
    for (const name of [a, b]) begin(name).response.write(Buffer.alloc(bytes));
  },
);

When(
  /^the responses "(.+)" and "(.+)" each (ends|is dropped with its connection|is read slowly|is cancelled|is replaced)$/,
  (a: string, b: string, how: string) => {
    for (const name of [a, b]) {
      ended.add(name);
      ends[how]?.(responses.get(name)!);
    }
  },
);

Then(
  /^no response without a length has begun at its caller(?: but the ended ones)?$/,
  () => assert.deepEqual(begun(), []),
);

When(
  /^a caller of HTTP\/1\.0 gets (\d+) bytes of a response in chunks$/,
  (bytes: string) => {
    const req = new IncomingMessage(new Socket());
    req.httpVersion = '1.0';
    const headers = ['transfer-encoding', 'chunked'];
    const {response} = begin('old', req, headers);
    response.write(Buffer.alloc(Number(bytes)));
  },
);

Then(
  'the responses {string} and {string} without a length are given up',
  (a: string, b: string) => {
    assert.deepEqual(givenUp, [a, b]);
    assert.deepEqual(begun(), []);
  },
);

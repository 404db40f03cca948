import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {CALL_CODES, MeshError, WIRE_CODES} from '@verbenabeam/core';
import {RetryAllowances} from '@verbenabeam/routing';
import {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {Attempt} from './attempt.js';
import {decodeCallHead} from './call-head.js';
import type {CallHead} from './call-head.js';
import {CrashDetector} from './crash-detector.js';
import type {EntryPorts} from './entry-ports.js';
import {localStreamPair} from './local-stream.js';
import {nativeProtocol} from './native-protocol.js';
import type {ReplayBody} from './replay-body.js';
import {ServingCall} from './serving-call.js';
import type {ServingContext} from './serving-context.js';
import {CallScheduler} from './call-scheduler.js';
import {
  collectingInvariants,
  FakeAdmission,
  FakeQuarantine,
  FakeUpstream,
  FakeVersions,
} from './test/test-ports.js';

const ignore = (): void => undefined;
const settleMs = 100;

let context: ServingContext;
let connectMs = 0;
let broken: string[] = [];
/** Calls that were sent to the upstream. */
let sentToUpstream: string[] = [];
/** Result codes of refused calls, by call id. */
const refused = new Map<string, number>();
let sentHead: CallHead | null = null;

function headOf(callId: string, remainingMs: number): CallHead {
  return {
    callId,
    service: 'files',
    version: 'v1',
    method: 'GET',
    path: '/read',
    remainingMs,
    depth: 1,
    retriesLeft: 0,
    routeName: 'read',
    priority: 0,
    targetMs: remainingMs,
    callerClass: '',
    bodyBytes: 0,
    headers: [],
  };
}

/** Creates a pool whose connections take `connectMs` to connect. */
function slowPool(): ServingContext['pool'] {
  const pool = {
    sockets: {truncation: () => null},
    get: () => ({
      dispatch: (
        {headers}: {headers: string[]},
        handler: Dispatcher.DispatchHandler,
      ) => {
        let isAborted = false;
        setTimeout(() => {
          handler.onConnect?.(() => {
            isAborted = true;
          });
          if (!isAborted) sentToUpstream.push(String(headers));
        }, connectMs);
      },
    }),
  };
  return pool as unknown as ServingContext['pool'];
}

Given(
  'a serving node whose upstream connects after {int} ms',
  (delayMs: number) => {
    connectMs = delayMs;
    broken = [];
    sentToUpstream = [];
    refused.clear();
    const upstream = new FakeUpstream();
    const names = {service: 'files', version: 'v1', address: '127.0.0.1:1'};
    upstream.own = {...names, state: 'ready'};
    const ports = {
      upstream,
      admission: new FakeAdmission(),
      quarantine: new FakeQuarantine(),
      stopped: new FakeVersions(),
      ledger: new RetryAllowances(),
      protocol: nativeProtocol,
      invariants: collectingInvariants(broken),
    };
    context = {
      ports,
      pool: slowPool(),
      scheduler: new CallScheduler(),
      crashDetector: new CrashDetector(ports),
      running: new Set(),
      isDraining: () => false,
      onEnd: ignore,
    };
  },
);

When(
  'calls with {int} ms and {int} ms left arrive at that serving node',
  async (first: number, second: number) => {
    for (const leftMs of [first, second]) {
      const callId = `call-${leftMs}`;
      const [entry, serving] = localStreamPair();
      entry.listen({
        onChunk: ignore,
        onEnd: ignore,
        onReset: err => refused.set(callId, err.code.code),
      });
      new ServingCall(headOf(callId, leftMs), serving, context).start();
      entry.end();
    }
    await sleep(connectMs + settleMs);
  },
);

Then(
  'the call with {int} ms left was refused with {int} and not sent to the upstream',
  (leftMs: number, code: number) => {
    assert.equal(refused.get(`call-${leftMs}`), code);
    assert.equal(code, CALL_CODES.deadlineTooClose.code);
    assert.ok(CALL_CODES.deadlineTooClose.notRun);
    assert.deepEqual(broken, []);
  },
);

Then(
  'the call with {int} ms left was sent to the upstream',
  (leftMs: number) => {
    assert.equal(refused.get(`call-${leftMs}`), undefined);
    assert.equal(sentToUpstream.length, 1);
  },
);

Given('a peer node to which connecting takes {int} ms', (delayMs: number) => {
  connectMs = delayMs;
  sentHead = null;
});

When(
  'an attempt with {int} ms left is sent to that peer node',
  async (remainingMs: number) => {
    const ports = {
      instances: {began: ignore, ended: ignore},
      bus: {
        openStreamNow: () => null,
        openStream: async (
          _peer: string,
          _kind: string,
          head: () => unknown,
        ) => {
          await sleep(connectMs);
          sentHead = decodeCallHead(head());
          return Result.err(new MeshError(WIRE_CODES.unreachable, 'closed'));
        },
      },
    } as unknown as EntryPorts;
    const body = {attach: ignore, detach: ignore} as unknown as ReplayBody;
    const target = {nodeId: 'b', address: '127.0.0.1:1', local: false};
    const listener = {
      onHead: ignore,
      onChunk: ignore,
      onEnd: ignore,
      onFailure: ignore,
    };
    const head = headOf('late', remainingMs);
    new Attempt(ports, target, head, body, listener).start();
    await sleep(connectMs + settleMs);
  },
);

Then('the head of that attempt has at most {int} ms left', (mostMs: number) => {
  assert.ok(sentHead);
  assert.ok(sentHead.remainingMs <= mostMs, `${sentHead.remainingMs} ms`);
  assert.ok(sentHead.targetMs <= mostMs, `${sentHead.targetMs} ms`);
});

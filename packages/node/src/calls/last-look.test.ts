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

const noEnd = (): void => undefined;
const settleMs = 100;

let context: ServingContext;
let connectMs = 0;
let broken: string[] = [];
/** Calls that were written to the upstream. */
let written: string[] = [];
/** Why calls were reset, by id. */
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

/** Upstream connections that are made late. */
function latePool(): ServingContext['pool'] {
  const pool = {
    resets: {isFailing: false, isEnding: false},
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
          if (!isAborted) written.push(String(headers));
        }, connectMs);
      },
    }),
  };
  return pool as unknown as ServingContext['pool'];
}

Given(
  'a serving side whose upstream connects after {int} ms',
  (delayMs: number) => {
    connectMs = delayMs;
    broken = [];
    written = [];
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
      pool: latePool(),
      scheduler: new CallScheduler(),
      crashes: new CrashDetector(ports),
      running: new Set(),
      isDraining: () => false,
      onEnd: noEnd,
    };
  },
);

When(
  'calls with {int} ms and {int} ms left are served there',
  async (first: number, second: number) => {
    for (const leftMs of [first, second]) {
      const callId = `call-${leftMs}`;
      const [entry, serving] = localStreamPair();
      entry.listen({
        onChunk: noEnd,
        onEnd: noEnd,
        onReset: err => refused.set(callId, err.code.code),
      });
      new ServingCall(headOf(callId, leftMs), serving, context).start();
      entry.end();
    }
    await sleep(connectMs + settleMs);
  },
);

Then(
  'the call with {int} ms left was refused as {int} and not written',
  (leftMs: number, code: number) => {
    assert.equal(refused.get(`call-${leftMs}`), code);
    assert.equal(code, CALL_CODES.deadlineTooClose.code);
    assert.ok(CALL_CODES.deadlineTooClose.notRun);
    assert.deepEqual(broken, []);
  },
);

Then('the call with {int} ms left was written', (leftMs: number) => {
  assert.equal(refused.get(`call-${leftMs}`), undefined);
  assert.equal(written.length, 1);
});

Given('a peer that is connected to after {int} ms', (delayMs: number) => {
  connectMs = delayMs;
  sentHead = null;
});

When(
  'an attempt with {int} ms left is made at that peer',
  async (remainingMs: number) => {
    const ports = {
      instances: {began: noEnd, ended: noEnd},
      bus: {
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
    const body = {attach: noEnd, detach: noEnd} as unknown as ReplayBody;
    const target = {nodeId: 'b', address: '127.0.0.1:1', local: false};
    const listener = {
      onHead: noEnd,
      onChunk: noEnd,
      onEnd: noEnd,
      onFailure: noEnd,
    };
    const head = headOf('late', remainingMs);
    new Attempt(ports, target, head, body, listener).start();
    await sleep(connectMs + settleMs);
  },
);

Then(
  'the head of the attempt says that at most {int} ms are left',
  (mostMs: number) => {
    assert.ok(sentHead);
    assert.ok(sentHead.remainingMs <= mostMs, `${sentHead.remainingMs} ms`);
    assert.ok(sentHead.targetMs <= mostMs, `${sentHead.targetMs} ms`);
  },
);

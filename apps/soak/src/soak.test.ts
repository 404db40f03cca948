import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {ServerStandin} from '@verbenabeam/platform/fakes';
import {runProcess} from '../../../scripts/lib/environment.mjs';
import {AnswerReader} from './answer-reader.js';
import type {ReadAnswer} from './answer-reader.js';
import {CallJudge} from './call-judge.js';
import type {NodeLife} from './call-judge.js';
import {CALL_ENDS} from './call.js';
import type {Call} from './call.js';
import {FaultLog} from './fault-log.js';
import {Promises} from './promises.js';
import {NODE_ENDS} from './soak-node.js';

const bundleTimeoutMs = 60_000;
/** Faults, start, recovery and the end of a soak in CI. */
const soakTimeoutMs = 180_000;
const secondsPerMinute = 60;

let child: ChildProcess | null = null;
let output = '';
let status: unknown = null;

After({tags: '@soak'}, () => {
  child?.kill('SIGTERM');
  if (folder !== '') rmSync(folder, {recursive: true});
  child = null;
  output = folder = '';
});

Given('the bundle that a soak runs', {timeout: bundleTimeoutMs}, async () => {
  const {status: made, err} = await runProcess(['scripts/bundle.mjs']);
  assert.equal(made, 0, err);
});

async function soak(args: readonly unknown[]): Promise<void> {
  const all = ['apps/soak/dist/main.js', ...args.map(String)];
  child = spawn(process.execPath, all, {stdio: ['ignore', 'pipe', 'pipe']});
  for (const stream of [child.stdout, child.stderr]) {
    stream?.on('data', piece => (output += String(piece)));
  }
  [status] = await once(child, 'close');
  child = null;
}

When(
  'a soak of {int} nodes with seed {int} injects faults for {int} s',
  {timeout: soakTimeoutMs},
  (nodes: number, seed: number, seconds: number) => {
    const minutes = seconds / secondsPerMinute;
    return soak(['--nodes', nodes, '--seed', seed, '--minutes', minutes]);
  },
);

When(
  'a soak of {int} nodes with seed {int} stops nodes {int} times',
  {timeout: soakTimeoutMs},
  (nodes: number, seed: number, stops: number) =>
    soak(['--nodes', nodes, '--seed', seed, '--stops', stops]),
);

Then('the soak reports that all promises are kept', () => {
  assert.equal(status, 0, output);
  assert.match(output, /^logs: /m);
});

let folder = '';
let judge: CallJudge;
let promises: Promises;
let servers: ServerStandin[] = [];
let nodes: NodeLife[][] = [];
let calls = 0;

Given('a soak judge of {int} machines', (count: number) => {
  folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-'));
  const log = new FaultLog(path.join(folder, 'faults.jsonl'));
  promises = new Promises(path.join(folder, 'findings.jsonl'));
  servers = Array.from(
    {length: count},
    (_, i) => new ServerStandin(`up-${i + 1}`, 'shop'),
  );
  nodes = servers.map(() => []);
  const machines = servers.map((server, i) => ({
    at: i + 1,
    servers: [server],
    nodes: nodes[i]!,
  }));
  judge = new CallJudge({machines, log, promises, onlyStops: false});
});

Given('soak machine {int} is killed', (at: number) => {
  const now = performance.now();
  const life = {startedAt: 0, exitAt: now, logFile: ''};
  nodes[at - 1]!.push({...life, told: NODE_ENDS.kill});
});

function newCall(
  ranAt: readonly number[] = [],
  ranWith: number | null = 0,
): Call {
  const call: Call = {
    id: `call-${++calls}`,
    entry: 1,
    path: '/once/a',
    bodyBytes: 0,
    isOnce: true,
    sentAt: performance.now(),
    endAt: Infinity,
    end: null,
    status: 0,
    ranAt: [],
  };
  judge.add(call);
  for (const at of ranAt) {
    servers[at - 1]!.runs.push({
      requestId: call.id,
      caller: 'shop',
      deadlineMs: 1_000,
      path: call.path,
      bodyBytes: ranWith,
    });
  }
  return call;
}

function answer(call: Call, code: number, id: string, body: string): void {
  const headers = new Map([
    ['request-id', id],
    ['server-seal', 'seal-up-1'],
    ['retry-after', '1'],
  ]);
  const read: ReadAnswer = {status: code, headers, body};
  judge.handlers.onAnswer(call, read);
}

When(
  'a soak call runs at upstreams {int} and {int} and is answered with {int}',
  (one: number, other: number, code: number) => {
    const call = newCall([one, other]);
    answer(call, code, call.id, `body of ${call.id} by up-1`);
  },
);

When(
  'a soak call runs at upstream {int} and is answered with {int}',
  (at: number, code: number) => {
    const call = newCall([at]);
    answer(call, code, call.id, '');
  },
);

When(
  'a soak call is answered at upstreams {int} and {int} before they read its body',
  (one: number, other: number) => {
    newCall([one, other], null);
  },
);

When('a soak call is answered with the id of another', () => {
  const call = newCall();
  answer(call, 200, 'another', `body of ${call.id} by up-1`);
});

When('a soak call is answered with a part of its body', () => {
  const call = newCall();
  answer(call, 200, call.id, 'body of ');
});

When('a soak call is lost', () => {
  judge.handlers.onEnd(newCall(), CALL_ENDS.lost);
});

function findings(): string[] {
  judge.finish();
  if (promises.isKept) return [];
  const text = readFileSync(path.join(folder, 'findings.jsonl'), 'utf8');
  const lines = text.trim().split('\n');
  return lines.map(line => (JSON.parse(line) as {promise: string}).promise);
}

Then(
  'the soak judge finds {string} and {string}',
  (one: string, other: string) => {
    assert.deepEqual(findings(), [one, other]);
  },
);

Then(
  'the soak judge finds {string}, {string} and {string}',
  (one: string, two: string, three: string) => {
    assert.deepEqual(findings(), [one, two, three]);
  },
);

Then('the soak judge finds nothing', () => {
  assert.deepEqual(findings(), []);
});

let answers: ReadAnswer[] = [];

Given('the soak reads {string} one byte at a time', (text: string) => {
  const reader = new AnswerReader();
  answers = [];
  for (const byte of Buffer.from(text.replaceAll('~', '\r\n'))) {
    reader.push(Buffer.from([byte]));
    const read = reader.next();
    if (read) answers.push(read);
  }
});

Then('it has read {int} whole answers', (count: number) => {
  assert.equal(answers.length, count);
});

import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import type {FaultKind, FaultStart} from './faults.js';
import type {StandinOptions} from './options.js';
import {startUpstream} from './upstream-standin.js';
import type {UpstreamStandin} from './upstream-standin.js';

let upstream: UpstreamStandin;
let node: http.Server | null = null;
let announced: string[];
let statuses: number[];
let notRuns: number;
let answer: string;

async function start(options: Partial<StandinOptions>): Promise<void> {
  upstream = await startUpstream({service: 's', version: 'v', ...options});
}

async function get(path: string, headers: Record<string, string> = {}) {
  const res = await request(`http://${upstream.address}${path}`, {headers});
  const body = await res.body.text();
  return {status: res.statusCode, notRun: res.headers['vb-not-run'], body};
}

After({tags: '@upstream-standin'}, async () => {
  upstream.crash();
  node?.close();
  await Promise.resolve();
});

Given('a stand-in upstream with {int} slots', (slots: number) =>
  start({slots}),
);

Given(
  'a stand-in upstream with {int} slots and a queue of {int}',
  (slots: number, queueLimit: number) => start({slots, queueLimit}),
);

Given(
  'a stand-in upstream with a cold start of {int} ms and a node',
  async (coldStartMs: number) => {
    announced = [];
    node = http.createServer((req, res) => {
      req.on('data', data => {
        announced.push((JSON.parse(String(data)) as {state: string}).state);
      });
      res.end();
    });
    await once(node.listen(0, '127.0.0.1'), 'listening');
    const {port} = node.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    await start({coldStartMs, node: url, announceEveryMs: 20});
  },
);

Given(
  'a stand-in upstream with the fault {word} {word}',
  (kind: FaultKind, begin: FaultStart) =>
    start({faults: [{kind, start: begin, pathPrefix: '/bad'}]}),
);

When(
  'stand-in call {string} with key {string} is sent {int} times',
  async (callId: string, key: string, times: number) => {
    const headers = {'vb-call-id': callId, 'idempotency-key': key};
    for (let i = 0; i < times; i++) await get('/x', headers);
  },
);

Then(
  'the stand-in counts {int} runs of call {string} and {int} of key {string}',
  (calls: number, callId: string, keys: number, key: string) => {
    assert.equal(upstream.runs.ofCall(callId), calls);
    assert.equal(upstream.runs.ofKey(key), keys);
    assert.deepEqual(upstream.runs.repeated(), {calls: [callId], keys: [key]});
  },
);

When(
  '{int} stand-in requests of {int} ms arrive at once',
  async (count: number, ms: number) => {
    const results = await Promise.all(
      Array.from({length: count}, () => get(`/x?ms=${ms}`)),
    );
    statuses = results.map(r => r.status);
    notRuns = results.filter(r => r.notRun === 'true').length;
  },
);

Then(
  '{int} stand-in requests ran and {int} were shed as not run',
  (ran: number, shed: number) => {
    assert.equal(upstream.runs.total, ran);
    assert.equal(notRuns, shed);
    assert.equal(statuses.filter(s => s === 503).length, shed);
  },
);

Then(
  'the stand-in refuses as not run until it announced {string}',
  async (state: string) => {
    assert.deepEqual(
      {...(await get('/x')), body: ''},
      {status: 503, notRun: 'true', body: ''},
    );
    assert.equal(upstream.runs.total, 0);
    while (!announced.includes(state)) await sleep(5);
    assert.equal(announced[0], 'cold');
    assert.equal((await get('/x')).status, 200);
  },
);

When(
  'the stand-in stops while a request of {int} ms runs',
  async (ms: number) => {
    while (upstream.state !== 'ready') await sleep(2);
    const running = get(`/x?ms=${ms}`);
    while (upstream.inFlight === 0) await sleep(2);
    await upstream.stop();
    answer = (await running).body;
  },
);

Then(
  'the stand-in request is answered and {string} was announced',
  (state: string) => {
    assert.match(answer, /^GET \/x/);
    assert.equal(announced.at(-1), state);
  },
);

When('a stand-in request of {int} ms is cancelled', async (ms: number) => {
  const cancel = new AbortController();
  const {signal} = cancel;
  const url = `http://${upstream.address}/x?ms=${ms}`;
  const sent = request(url, {signal}).catch(() => 'cancelled');
  while (upstream.inFlight === 0) await sleep(2);
  cancel.abort();
  assert.equal(await sent, 'cancelled');
});

Then('the stand-in frees its slot within {int} ms', async (ms: number) => {
  const until = performance.now() + ms;
  while (upstream.inFlight > 0 && performance.now() < until) await sleep(5);
  assert.equal(upstream.inFlight, 0);
  assert.equal(upstream.cancelled, 1);
});

Then(
  'a stand-in request with a deadline of {int} ms is refused as not run',
  async (ms: number) => {
    const before = upstream.runs.total;
    const res = await get('/x', {'vb-deadline-ms': String(ms)});
    assert.equal(res.notRun, 'true');
    assert.equal(upstream.runs.total, before);
  },
);

Then(
  'stand-in path {string} answers {int} and {string} answers {int}',
  async (one: string, first: number, two: string, second: number) => {
    assert.equal((await get(one)).status, first);
    assert.equal((await get(two)).status, second);
  },
);

When('a stand-in request crashes it', async () => {
  await assert.rejects(get('/crash'));
});

Then('the stand-in cannot be reached', async () => {
  await assert.rejects(get('/x'));
});

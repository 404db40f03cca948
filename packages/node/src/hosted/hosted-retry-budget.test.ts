import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {RetryBudget} from '@verbenabeam/routing';
import {Deadline} from '@verbenabeam/routing';
import {TestClient} from '../calls/test/test-client.js';
import {TestNode} from '../calls/test/test-node.js';
import {hostedRetryBudget} from './hosted-retry-budget.js';
import type {HostedBounds} from './hosted-settings.js';

const service = 'findings';
const refused = {
  service,
  retriesLeft: 8,
  deadline: new Deadline(Infinity),
  expectedMs: 0,
  notRun: true,
  idempotent: true,
  suspect: false,
};

let budgets: RetryBudget[] = [];
let retries = 0;
let nodes: TestNode[] = [];
/** For each call that the budget of the entry node has counted, whether it is a sub-call. */
let subCalls: boolean[] = [];

After({tags: '@hosted'}, async () => {
  for (const node of nodes) await node.stop();
  nodes = [];
});

Given(
  '{int} hosted nodes whose retry share is {float} and whose minimum is {int}',
  (count: number, retryShare: number, retryMinimum: number) => {
    const bounds = {retryShare, retryMinimum} as HostedBounds;
    const create = () =>
      hostedRetryBudget(
        () => bounds,
        () => count,
      );
    budgets = Array.from({length: count}, create);
    retries = 0;
  },
);

When(
  'in 10 s {int} calls from outside and {int} sub-calls come to a service that refuses all',
  (outside: number, subCalls: number) => {
    const total = outside + subCalls;
    for (let i = 0; i < total; i++) {
      const budget = budgets[i % budgets.length]!;
      // Spreads the calls from outside evenly over the others.
      const isSubCall = ((i * outside) % total) + outside < total;
      budget.recordCall(service, isSubCall);
      if (budget.tryRetry(refused, 0) === 'granted') retries++;
    }
  },
);

Then('the hosted nodes make at most {int} retries', (most: number) =>
  assert.ok(retries <= most, `${retries} retries`),
);

Given(
  'two data path nodes, of whose routes only upstreams call {string}',
  async (route: string) => {
    const broken: string[] = [];
    nodes = ['w1', 'w2'].map(id => new TestNode(id, broken));
    for (const node of nodes) await node.start({slots: 500});
    const [entry, serving] = nodes;
    entry!.sendTo(serving!);
    serving!.admission.subCallRoutes.add(route);
    subCalls = [];
    const {retries} = entry!;
    const recordCall = retries.recordCall.bind(retries);
    retries.recordCall = (name, isSubCall) => {
      subCalls.push(isSubCall === true);
      recordCall(name, isSubCall);
    };
  },
);

When(
  '{int} calls of {string} and {int} of {string} are made at the first of them',
  async (first: number, route: string, second: number, other: string) => {
    const client = new TestClient();
    for (const [count, name] of [
      [first, route],
      [second, other],
    ] as const) {
      for (let i = 0; i < count; i++) await client.call(nodes[0]!, `/${name}`);
    }
    await client.agent.destroy();
  },
);

Then(
  'its retry budget has counted {int} sub-call and {int} calls from outside',
  (ofUpstreams: number, outside: number) => {
    const found = subCalls.filter(isSubCall => isSubCall).length;
    assert.deepEqual([found, subCalls.length - found], [ofUpstreams, outside]);
  },
);

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {MovesResponse} from '@verbenabeam/admin-api';
import {waitUntil} from '../../../scripts/lib/environment.mjs';
import {fleet, newFleet} from './test/current-fleet.js';
import {fleetDocument} from './test/fleet-document.js';
import {StoreRates} from './test/store-rates.js';

/** Time after the last start in which the store's rates are watched. */
const watchMs = 5_000;
/** Calls under way when the move was stopped. */
const settleMs = 1_000;
const longStepMs = 300_000;

let rates: StoreRates | null = null;
let restarted: string[] = [];
/** Process ids of the upstreams of version v2. */
let newVersion = new Set<number | undefined>();

Given('a process fleet change to version {int}', async (version: number) => {
  fleet().load.readsOnly = true;
  const {status, err} = await fleet().submit(fleetDocument({timeout: '4s'}));
  assert.equal(status, 0, err);
  await fleet().untilAllHold(version);
});

When(
  'process fleet instances 7, 8 and 9 are killed and started again at once',
  async () => {
    const victims = [7, 8, 9].map(number => fleet().instance(number));
    restarted = victims.map(({node}) => node.info['callers'] ?? '');
    const left = fleet()
      .callers()
      .filter(target => !restarted.includes(target));
    fleet().load.aim(left);
    rates = new StoreRates(() => fleet().controlStore('counts'));
    await rates.start();
    await Promise.all(victims.map(victim => fleet().env.killInstance(victim)));
    await Promise.all(
      [6, 7, 8].map(index => fleet().env.startInstance(fleet().spec(index))),
    );
    await fleet().untilAllHold(2, 30_000);
    await sleep(watchMs);
    await rates.stop();
  },
);

Then(
  'the process fleet store saw at most {int} reads and {int} writes in any second',
  (mostReads: number, mostWrites: number) => {
    assert.ok(rates);
    const {reads, writes} = rates.highest();
    assert.ok(reads + writes > 0, 'the store saw no call');
    assert.ok(reads <= mostReads, `${reads} reads in a second`);
    assert.ok(writes <= mostWrites, `${writes} writes in a second`);
  },
);

Then('no process fleet call at a node that stayed failed', async () => {
  await fleet().load.stop();
  const failed = fleet().load.failed.filter(
    call => !restarted.includes(call.target),
  );
  assert.deepEqual(await fleet().withAttempts(failed), []);
});

Given(
  /^a process fleet of (\d+) instances and (\d+) of version v2 that (fails at once|is good), under a load of (\d+) calls a second$/,
  async (old: string, added: string, kind: string, rate: string) => {
    await newFleet().start(Number(old));
    const fault = kind === 'is good' ? [] : ['--fault', 'error:at-once'];
    const starts = Array.from({length: Number(added)}, (_, i) =>
      fleet().env.startInstance({
        ...fleet().spec(Number(old) + i, fault),
        version: 'v2',
      }),
    );
    const instances = await Promise.all(starts);
    newVersion = new Set(instances.map(({upstream}) => upstream?.child.pid));
    fleet().load.readsOnly = true;
    await fleet().begin(Number(rate));
  },
);

When(
  'a process fleet operator submits a move to v2 with a deadline in {int} s',
  async (seconds: number) => {
    const moveBy = Date.now() + seconds * 1_000;
    const {status, err} = await fleet().submit(fleetDocument({moveBy}));
    assert.equal(status, 0, err);
  },
);

async function moveOf() {
  const args = ['moves', '--json'];
  const {out, err} = await fleet().env.cliAt(fleet().instance(1), args);
  assert.notEqual(out, '', err);
  const [move] = (JSON.parse(out) as MovesResponse).moves;
  return move;
}

async function untilDecided(state: string, seconds: number): Promise<void> {
  const decided = async () => {
    const move = await moveOf();
    return move?.state === 'done' || move?.state === 'takenBack';
  };
  await waitUntil(decided, 'the move is decided', seconds * 1_000).catch(
    async () => assert.fail(`undecided: ${JSON.stringify(await moveOf())}`),
  );
  assert.equal((await moveOf())?.state, state, JSON.stringify(await moveOf()));
}

Then(
  'the process fleet move is takenBack within {int} s and its reason names failures',
  {timeout: longStepMs},
  async (seconds: number) => {
    await untilDecided('takenBack', seconds);
    const {out} = await fleet().env.cliAt(fleet().instance(1), ['moves']);
    assert.match(out, /takenBack[\s\S]*reason: .*fail/i);
  },
);

Then(
  'the process fleet move is done within {int} s',
  {timeout: longStepMs},
  (seconds: number) => untilDecided('done', seconds),
);

Then(
  'process fleet callers got at most {int}% failures',
  async (percent: number) => {
    const {seen, failed} = fleet().load;
    assert.ok(failed.length > 0, 'the bad version received no call');
    assert.ok(failed.length <= (seen.length * percent) / 100);
    await sleep(settleMs);
  },
);

Then('no process fleet call goes to v2 any more', async () => {
  const from = Date.now();
  await fleet().load.untilAnswered(200);
  const late = fleet()
    .runLog()
    .filter(line => newVersion.has(line.pid) && line.at >= from);
  assert.deepEqual(late, []);
});

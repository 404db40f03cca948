import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {World} from '@cucumber/cucumber';
import {runProcess} from '../../../scripts/lib/environment.mjs';
import {askNode} from './test/ask-node.js';
import {deployedCommand} from './test/deployed-command.js';
import {ProcessScene} from './test/process-scene.js';

const stepTimeoutMs = 40_000;
/** The calls of the flooded path end at this time at the latest. */
const timeoutMs = 1_000;
/** Twice the time limit of the callers' requests. */
const leaveAfterMs = 2_000;
const calmMs = 500;
const otherCallers = 4;
const otherPauseMs = 50;
const ticksPerSecond = 100;
const msPerSecond = 1_000;
const kbPerMb = 1_024;

let isBundled = false;
let scene: ProcessScene | null = null;
let coreShare = 0;
let otherStatuses: number[] = [];

/** The node and the stand-ins of the scenario. */
export function processScene(): ProcessScene {
  assert.ok(scene, 'no hosted node process runs');
  return scene;
}

After({tags: '@hosted', timeout: stepTimeoutMs}, async () => {
  await scene?.stop();
  scene = null;
});

Given(
  'a hosted node process as it is deployed, beside an upstream with {int} slots',
  {timeout: stepTimeoutMs},
  async (slots: number) => {
    if (!isBundled) {
      const {status, err} = await runProcess(['scripts/bundle.mjs']);
      assert.equal(status, 0, err);
      isBundled = true;
    }
    scene = await ProcessScene.serving(deployedCommand(), {timeoutMs}, slots);
  },
);

Given(/^its upstream answers with (.+) without an end$/, (kind: string) => {
  scene!.server.faults.flood = kind;
});

When(
  '{int} callers get that answer for {int} ms, each once in {int} ms at most',
  {timeout: stepTimeoutMs},
  async (count: number, forMs: number, gapMs: number) => {
    const {ports, node} = scene!;
    const end = performance.now() + forMs;
    const keepCalling = async (name: string, path: string, pauseMs: number) => {
      const statuses: number[] = [];
      for (let i = 0; performance.now() < end && !node.hasEnded; i++) {
        const options = {path, leaveAfterMs};
        statuses.push(await askNode(ports.callers, `${name}-${i}`, options));
        await sleep(pauseMs);
      }
      return statuses;
    };
    const before = processorMs(node.child.pid!);
    const startAt = performance.now();
    const flooded = Array.from({length: count}, (_, i) =>
      keepCalling(`flooded-${i}`, '/flood', gapMs),
    );
    await sleep(calmMs);
    const others = Array.from({length: otherCallers}, (_, i) =>
      keepCalling(`other-${i}`, '/a', otherPauseMs),
    );
    otherStatuses = (await Promise.all(others)).flat();
    await Promise.all(flooded);
    if (node.hasEnded) return;
    const usedMs = processorMs(node.child.pid!) - before;
    coreShare = usedMs / (performance.now() - startAt);
    assert.ok(scene!.server.floods.answers > 0, 'no answer was flooded');
  },
);

Then(
  'the hosted node process runs and has never had more than {int} MB',
  function (this: World, mostMb: number) {
    const {node} = scene!;
    assert.ok(!node.hasEnded, node.end);
    const peakMb = peakMemoryMb(node.child.pid!);
    this.log(`${peakMb} MB`);
    assert.ok(peakMb <= mostMb, `${peakMb} MB\n${node.log}`);
  },
);

Then(
  'the hosted node process has used at most {float} of a core',
  function (this: World, most: number) {
    const {node, server} = scene!;
    assert.ok(!node.hasEnded, node.end);
    const found = `${coreShare} of a core, ${JSON.stringify(server.floods)}`;
    this.log(found);
    assert.ok(coreShare <= most, found);
  },
);

Then('all other calls at the hosted node process were answered', () => {
  assert.ok(otherStatuses.length > 0);
  const missed = otherStatuses.filter(status => status !== 200);
  assert.deepEqual(missed, [], `of ${otherStatuses.length}`);
});

/** Processor time of a process since its start. */
function processorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name of the process may hold spaces; the state follows its bracket.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * msPerSecond) / ticksPerSecond;
}

function peakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / kbPerMb;
}

import {cutConnections} from './client-sockets.js';
import type {TestInstance} from './test-instance.js';
import type {Step, StepKind} from './test-step.js';
import type {TestMesh} from './test-mesh.js';

/** Instances of v1 that stay in service while others stop or drain. */
const minServing = 2;
const restartUpstreamMs = 300;

type Action = (mesh: TestMesh, instance: TestInstance, step: Step) => unknown;

/** Tells whether enough other instances serve for this one to stop or drain. */
function canRemove(mesh: TestMesh, instance: TestInstance): boolean {
  const serving = mesh.up.filter(m => !m.leaving && m.version === 'v1');
  return serving.length > minServing && !instance.leaving;
}

async function crashUpstream(mesh: TestMesh, instance: TestInstance) {
  const {upstream} = instance;
  upstream?.crash();
  await mesh.sleep(restartUpstreamMs);
  if (instance.state === 'up' && instance.upstream === upstream) {
    await instance.startUpstream();
  }
}

/**
 * Sends a request that crashes its upstream, then restarts all crashed
 * upstreams.
 */
async function sendCrashingRequest(
  mesh: TestMesh,
  instance: TestInstance,
  b: number,
) {
  const before = mesh.up.map(m => [m, m.upstream] as const);
  const path = `/crash?case=${b % 3}`;
  const expected = Buffer.alloc(0);
  await mesh.callers.send(instance, {method: 'GET', path, expected});
  await mesh.sleep(restartUpstreamMs);
  for (const [m, upstream] of before) {
    const dead = upstream !== null && mesh.crashed.has(upstream);
    if (dead && m.state === 'up' && m.upstream === upstream) {
      await m.startUpstream();
    }
  }
}

async function injectStoreFault(
  mesh: TestMesh,
  fault: Parameters<TestMesh['store']['setFaults']>[0],
  ms: number,
) {
  mesh.store.setFaults(fault);
  await mesh.sleep(ms);
  mesh.store.setFaults({down: 'no', latencyMs: 0});
}

const actions: Readonly<Record<StepKind, Action>> = {
  read: (w, m, {b}) => w.callers.read(m, `&ms=${b % 120}`),
  write: (w, m, {b}) =>
    w.callers.write(m, w.callers.newWrite(b), `&ms=${b % 200}`),
  repeatWrite: (w, m, {a, b}) => {
    const {writes} = w.callers;
    // Prefers recent keys, because their first call may still be running.
    const recent = writes.slice(-1 - (b % 8));
    const write = recent[a % recent.length];
    return write && w.callers.write(m, write);
  },
  largeBody: (w, m, {b}) =>
    b % 2 === 0 ? w.callers.large(m, b, '') : w.callers.put(m, b),
  stream: (w, m, {b}) =>
    w.callers.large(m, b, `&chunks=${2 + (b % 9)}&gap=${b % 150}`),
  cancel: (w, m, {b}) =>
    b % 2 === 0
      ? w.callers.read(m, '&ms=200', {cancelMs: 1 + (b % 250)})
      : w.callers.write(m, w.callers.newWrite(b), '&ms=100', 1 + (b % 500)),
  shortDeadline: (w, m, {b}) => {
    const headers = {'vb-deadline-ms': String(1 + (b % 80))};
    return w.callers.read(m, '&ms=40', {headers});
  },
  submit: (w, m) => w.submit(m),
  concurrentSubmits: (w, m) => {
    const base = w.versionOf(m);
    const racers = w.up.filter(other => other.version === m.version);
    return Promise.all(racers.slice(0, 2).map(r => w.submit(r, base)));
  },
  takeBack: (_, m) => m.node.parts.moves.takeBack('to-v2', 'run'),
  drainAndStop: (w, m, {b}) => (canRemove(w, m) ? m.stop(b % 1_500) : null),
  stop: (w, m) => (canRemove(w, m) ? m.stop(0) : null),
  kill: (w, m) => (canRemove(w, m) ? m.kill() : null),
  restart: (w, _, {a}) => {
    const down = w.instances.filter(m => m.state === 'down' && !m.starting);
    const instance = down[a % down.length];
    return instance && w.restart(instance);
  },
  crashUpstream: (w, m) => (canRemove(w, m) ? crashUpstream(w, m) : null),
  crashingRequest: (w, m, {b}) => sendCrashingRequest(w, m, b),
  replaceUpstream: (w, m) => (canRemove(w, m) ? m.replaceUpstream() : null),
  cutConnections: (w, m) => {
    w.recordDisruption();
    cutConnections(m.addresses.wire);
  },
  storeOutage: (w, _, {a, b}) =>
    injectStoreFault(w, {down: a % 2 ? 'reset' : 'noLeader'}, b % 1_500),
  loseStoreResponses: (w, _, {b}) =>
    w.store.setFaults({loseResponses: 1 + (b % 3)}),
  slowStore: (w, _, {b}) => injectStoreFault(w, {latencyMs: b % 1_200}, 600),
};

/**
 * Starts a step. Its work continues in the background during the next steps.
 */
export function performStep(mesh: TestMesh, step: Step): void {
  const instance = mesh.up[step.a % mesh.up.length];
  if (!instance) return;
  const work = async () => {
    await actions[step.kind](mesh, instance, step);
  };
  mesh.runInBackground(`${step.kind} ${instance.name}`, work());
}

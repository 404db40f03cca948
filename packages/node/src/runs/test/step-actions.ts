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
  const serving = mesh.up.filter(m => !m.upstreamLeaving && m.version === 'v1');
  return serving.length > minServing && !instance.upstreamLeaving;
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
  read: (mesh, instance, {b}) => mesh.callers.read(instance, `&ms=${b % 120}`),
  write: (mesh, instance, {b}) =>
    mesh.callers.write(instance, mesh.callers.newWrite(b), `&ms=${b % 200}`),
  repeatWrite: (mesh, instance, {a, b}) => {
    const {writes} = mesh.callers;
    // Prefers recent keys, because their first call may still be running.
    const recent = writes.slice(-1 - (b % 8));
    const write = recent[a % recent.length];
    return write && mesh.callers.write(instance, write);
  },
  largeBody: (mesh, instance, {b}) =>
    b % 2 === 0
      ? mesh.callers.large(instance, b, '')
      : mesh.callers.put(instance, b),
  stream: (mesh, instance, {b}) =>
    mesh.callers.large(instance, b, `&chunks=${2 + (b % 9)}&gap=${b % 150}`),
  cancel: (mesh, instance, {b}) =>
    b % 2 === 0
      ? mesh.callers.read(instance, '&ms=200', {cancelMs: 1 + (b % 250)})
      : mesh.callers.write(
          instance,
          mesh.callers.newWrite(b),
          '&ms=100',
          1 + (b % 500),
        ),
  shortDeadline: (mesh, instance, {b}) => {
    const headers = {'vb-deadline-ms': String(1 + (b % 80))};
    return mesh.callers.read(instance, '&ms=40', {headers});
  },
  submit: (mesh, instance) => mesh.submit(instance),
  concurrentSubmits: (mesh, instance) => {
    const base = mesh.versionOf(instance);
    const racers = mesh.up.filter(other => other.version === instance.version);
    return Promise.all(racers.slice(0, 2).map(r => mesh.submit(r, base)));
  },
  takeBack: (_, instance) => instance.node.parts.moves.takeBack('to-v2', 'run'),
  drainAndStop: (mesh, instance, {b}) =>
    canRemove(mesh, instance) ? instance.stop(b % 1_500) : null,
  stop: (mesh, instance) =>
    canRemove(mesh, instance) ? instance.stop(0) : null,
  kill: (mesh, instance) =>
    canRemove(mesh, instance) ? instance.kill() : null,
  restart: (mesh, _, {a}) => {
    const down = mesh.instances.filter(
      instance => instance.state === 'down' && !instance.starting,
    );
    const instance = down[a % down.length];
    return instance && mesh.restart(instance);
  },
  crashUpstream: (mesh, instance) =>
    canRemove(mesh, instance) ? crashUpstream(mesh, instance) : null,
  crashingRequest: (mesh, instance, {b}) =>
    sendCrashingRequest(mesh, instance, b),
  replaceUpstream: (mesh, instance) =>
    canRemove(mesh, instance) ? instance.replaceUpstream() : null,
  cutConnections: (mesh, instance) => {
    mesh.recordDisruption();
    cutConnections(instance.addresses.wire);
  },
  storeOutage: (mesh, _, {a, b}) =>
    injectStoreFault(mesh, {down: a % 2 ? 'reset' : 'noLeader'}, b % 1_500),
  loseStoreResponses: (mesh, _, {b}) =>
    mesh.store.setFaults({loseResponses: 1 + (b % 3)}),
  slowStore: (mesh, _, {b}) =>
    injectStoreFault(mesh, {latencyMs: b % 1_200}, 600),
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

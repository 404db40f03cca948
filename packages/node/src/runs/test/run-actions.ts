import {cutConnections} from './sockets.js';
import type {RunMember} from './run-member.js';
import type {Step, StepKind} from './run-step.js';
import type {RunWorld} from './run-world.js';

/** Nodes with an upstream that stay while others end or leave. */
const minServing = 2;
const restartUpstreamMs = 300;

type Action = (world: RunWorld, member: RunMember, step: Step) => unknown;

/** Members that may end or leave now, so that the rest still serves. */
function mayEnd(world: RunWorld, member: RunMember): boolean {
  const serving = world.up.filter(m => !m.leaving && m.version === 'v1');
  return serving.length > minServing && !member.leaving;
}

async function crashUpstream(world: RunWorld, member: RunMember) {
  const {upstream} = member;
  upstream?.crash();
  await world.sleep(restartUpstreamMs);
  if (member.state === 'up' && member.upstream === upstream) {
    await member.startUpstream();
  }
}

/** Sends a request that crashes its upstream; all dead ones are replaced. */
async function poison(world: RunWorld, member: RunMember, b: number) {
  const before = world.up.map(m => [m, m.upstream] as const);
  const path = `/crash?case=${b % 3}`;
  const expected = Buffer.alloc(0);
  await world.callers.send(member, {method: 'GET', path, expected});
  await world.sleep(restartUpstreamMs);
  for (const [m, upstream] of before) {
    const dead = upstream !== null && world.crashed.has(upstream);
    if (dead && m.state === 'up' && m.upstream === upstream) {
      await m.startUpstream();
    }
  }
}

async function storeFault(
  world: RunWorld,
  fault: Parameters<RunWorld['store']['setFaults']>[0],
  ms: number,
) {
  world.store.setFaults(fault);
  await world.sleep(ms);
  world.store.setFaults({down: 'no', latencyMs: 0});
}

const actions: Readonly<Record<StepKind, Action>> = {
  read: (w, m, {b}) => w.callers.read(m, `&ms=${b % 120}`),
  write: (w, m, {b}) =>
    w.callers.write(m, w.callers.newWrite(b), `&ms=${b % 200}`),
  again: (w, m, {a, b}) => {
    const {writes} = w.callers;
    // Recent keys are chosen more often, as their first call may still run.
    const recent = writes.slice(-1 - (b % 8));
    const write = recent[a % recent.length];
    return write && w.callers.write(m, write);
  },
  large: (w, m, {b}) =>
    b % 2 === 0 ? w.callers.large(m, b, '') : w.callers.put(m, b),
  stream: (w, m, {b}) =>
    w.callers.large(m, b, `&chunks=${2 + (b % 9)}&gap=${b % 150}`),
  cancel: (w, m, {b}) =>
    b % 2 === 0
      ? w.callers.read(m, '&ms=200', {cancelMs: 1 + (b % 250)})
      : w.callers.write(m, w.callers.newWrite(b), '&ms=100', 1 + (b % 500)),
  tight: (w, m, {b}) => {
    const headers = {'vb-deadline-ms': String(1 + (b % 80))};
    return w.callers.read(m, '&ms=40', {headers});
  },
  submit: (w, m) => w.submit(m),
  race: (w, m) => {
    const base = w.versionOf(m);
    const racers = w.up.filter(other => other.version === m.version);
    return Promise.all(racers.slice(0, 2).map(r => w.submit(r, base)));
  },
  takeBack: (_, m) => m.node.parts.moves.takeBack('to-v2', 'run'),
  drain: (w, m, {b}) => (mayEnd(w, m) ? m.stop(b % 1_500) : null),
  stop: (w, m) => (mayEnd(w, m) ? m.stop(0) : null),
  kill: (w, m) => (mayEnd(w, m) ? m.kill() : null),
  restart: (w, _, {a}) => {
    const down = w.members.filter(m => m.state === 'down' && !m.starting);
    const member = down[a % down.length];
    return member && w.restart(member);
  },
  crashUpstream: (w, m) => (mayEnd(w, m) ? crashUpstream(w, m) : null),
  poison: (w, m, {b}) => poison(w, m, b),
  leave: (w, m) => (mayEnd(w, m) ? m.replaceUpstream() : null),
  cut: (w, m) => {
    w.cause();
    cutConnections(m.addresses.wire);
  },
  outage: (w, _, {a, b}) =>
    storeFault(w, {down: a % 2 ? 'reset' : 'noLeader'}, b % 1_500),
  lose: (w, _, {b}) => w.store.setFaults({loseResponses: 1 + (b % 3)}),
  slow: (w, _, {b}) => storeFault(w, {latencyMs: b % 1_200}, 600),
};

/** Begins a step; what it starts goes on beside the next steps. */
export function perform(world: RunWorld, step: Step): void {
  const member = world.up[step.a % world.up.length];
  if (!member) return;
  const work = async () => {
    await actions[step.kind](world, member, step);
  };
  world.background(`${step.kind} ${member.name}`, work());
}

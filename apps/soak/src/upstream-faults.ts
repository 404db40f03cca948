import type {ServerStandin} from '@verbenabeam/platform/fakes';
import type {FaultHandler} from './fault-handlers.js';

/** Answers that one fault spoils at most. */
const maxCount = 3;
/** Time in which an upstream that has left still listens. */
const lingerMs = 3_000;
const ok = 200;
const counted = [
  'fail',
  'falseRefusals',
  'loseAnswers',
  'refuseEarly',
  'repeatRefusals',
  'resetUnframed',
  'shed',
  'swapIds',
  'unframed',
] as const;
const garbled = [
  'HTTP/1.1 banana\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcdefg',
  '\0\u0001\u0002 no answer\r\n\r\n',
] as const;
const endless = [
  'a head',
  'informational heads',
  'a body',
  'a body in chunks',
  'bytes that are no answer',
  'empty lines',
] as const;
const brokenHead = {framing: 'a length', bytes: 40, resets: false};

/** Handler of what an upstream does wrong for a while. */
function spoil(set: (server: ServerStandin, x: number) => void): FaultHandler {
  return async ({log, pause}, {kind, machine, ms, x}) => {
    const {server} = machine;
    const end = log.begin(kind, [machine.at]);
    set(server, x);
    await pause(ms);
    for (const name of counted) server.faults[name] = 0;
    server.faults.resetAtOnce = 0;
    server.faults.endless = server.faults.rawAnswer = '';
    server.brokenHead = null;
    end();
  };
}

function pick<T>(items: readonly T[], x: number): T | undefined {
  return items[Math.floor(x * items.length)];
}

const countedHandlers = counted.map(
  name =>
    [
      `upstream ${name}`,
      spoil(({faults}, x) => {
        faults[name] = 1 + Math.floor(x * maxCount);
        if (name === 'repeatRefusals') faults.shed = faults[name];
        // Not a kind of its own, so that seeds keep their order of faults.
        if (name === 'resetUnframed') faults.resetAtOnce = faults[name];
      }),
    ] as const,
);

/** Handlers of faults of upstreams, by kind. */
export const upstreamHandlers: Readonly<Record<string, FaultHandler>> = {
  ...Object.fromEntries(countedHandlers),
  'upstream garbled': spoil(({faults}, x) => {
    faults.rawAnswer = pick(garbled, x) ?? '';
  }),
  'upstream endless': spoil(({faults}, x) => {
    faults.endless = pick(endless, x) ?? '';
  }),
  'upstream broken head': spoil((server, x) => {
    server.brokenHead = {...brokenHead, resets: x < 0.5};
  }),
  'upstream crash': async (world, {machine, ms}) => {
    if (machine.isChanging) return;
    machine.isChanging = true;
    const end = world.log.begin('upstream crash', [machine.at]);
    machine.server.stop();
    machine.upstream.stop();
    await world.pause(ms / 2);
    await machine.startServer();
    await machine.startUpstreamProxy();
    end();
    machine.isChanging = false;
  },
  'upstream leaves': async (world, {machine, ms}) => {
    if (machine.isChanging) return;
    machine.isChanging = true;
    const {server, control} = machine;
    const end = world.log.begin('upstream leaves', [machine.at]);
    server.stopBeats();
    // A node that is down takes no message; the upstream is gone without one then.
    await server.beat(control, {state: 'draining'}).catch(() => 0);
    await world.pause(ms / 2);
    const status = await server.leave(control).catch(() => 0);
    if (status === ok) world.onLeft(machine, server);
    await world.pause(lingerMs);
    server.stop();
    await machine.startServer();
    end();
    machine.isChanging = false;
  },
};

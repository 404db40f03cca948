import type {FleetRun} from './fleet-run.js';

/** One action of a randomised run; `a` and `b` choose nodes or amounts. @internal */
export interface FleetAction {
  readonly kind: FleetActionKind;
  readonly a: number;
  readonly b: number;
}

type Act = (run: FleetRun, a: number, b: number) => void;

const percent = 100;
const serviceCount = 12;

/** What can happen to a fleet. @internal */
export const FLEET_ACTIONS = {
  submit: (run, a, b) => run.submit(a, documentText(b)),
  race: (run, a, b) => {
    run.submit(a, documentText(a));
    run.submit(b, documentText(b));
  },
  restart: (run, a) => run.node(a).restart(),
  restartMany: (run, a, b) => {
    for (let i = 0; i < b % 6; i++) run.node(a + i).restart();
  },
  pause: (run, a) => run.node(a).setPaused(true),
  pauseRelays: run => {
    const relays = run.nodes.filter(node => node.process.relay.isRelay);
    for (const node of relays) node.setPaused(true);
  },
  resume: run => {
    for (const node of run.nodes) node.setPaused(false);
  },
  storeDown: run => run.store.setDown(true),
  storeUp: run => run.store.setDown(false),
  loseResponses: (run, a) => {
    run.store.lostResponses = (a % percent) / percent;
  },
  backUp: run => run.store.backUp(),
  restore: run => run.store.restore(),
  cut: (run, a, b) => {
    const size = 1 + (b % 5);
    const group = Array.from({length: size}, (_, i) => run.node(a + i).nodeId);
    run.link.cut(new Set(group));
  },
  cutCentre: run => {
    const group = run.nodes.filter(node => node.dataCentre === 'a');
    run.link.cut(new Set(group.map(node => node.nodeId)));
  },
  join: run => run.link.cut(new Set()),
  badLinks: (run, a, b) => {
    run.link.lossShare = (a % 50) / percent;
    run.link.duplicateShare = (b % 50) / percent;
    run.link.lateMs = (a * b) % 3_000;
  },
  goodLinks: run => {
    run.link.lossShare = 0;
    run.link.duplicateShare = 0;
    run.link.lateMs = 0;
  },
} satisfies Record<string, Act>;

/** A name of {@link FLEET_ACTIONS}. @internal */
export type FleetActionKind = keyof typeof FLEET_ACTIONS;

const minStepMs = 50;
const stepMs = 20;
const healMs = 40_000;

/** Runs the actions, ends all faults and checks that the fleet converges. @internal */
export async function runActions(
  run: FleetRun,
  actions: readonly FleetAction[],
): Promise<readonly string[]> {
  for (const {kind, a, b} of actions) {
    FLEET_ACTIONS[kind](run, a, b);
    await run.advance(minStepMs + ((a + b) % percent) * stepMs);
    if (run.faults.length > 0) return run.faults;
  }
  run.heal();
  await run.advance(healMs);
  checkConverged(run, run.store.restores > 0);
  if (run.store.restores > 0) await reassertOnce(run);
  await submitLast(run);
  run.checkOperators();
  return run.faults;
}

/** Two texts under one number can exist only after a restore. */
function checkConverged(run: FleetRun, mayConflict: boolean): void {
  const shown = run.active();
  const versions = new Set(shown.map(row => row.split('/')[0]));
  const count = mayConflict ? versions.size : shown.length;
  if (count !== 1) run.faults.push(`not converged: ${shown.join(' ')}`);
  const head = run.head()?.version ?? 0;
  if (!mayConflict && !versions.has(String(head))) {
    run.faults.push(`the store has ${head}, the nodes ${shown.join(' ')}`);
  }
}

async function reassertOnce(run: FleetRun): Promise<void> {
  run.reassert(run.random.below(run.nodes.length));
  await run.advance(healMs);
  checkConverged(run, false);
}

async function submitLast(run: FleetRun): Promise<void> {
  const before = run.head()?.version ?? 0;
  run.submit(run.random.below(run.nodes.length), documentText(0));
  await run.advance(healMs);
  checkConverged(run, false);
  const head = run.head()?.version ?? 0;
  if (head !== before + 1) run.faults.push('the last change was not accepted');
  const waiting = run.nodes.filter(node => !node.process.distributor.ready);
  if (waiting.length > 0) {
    run.faults.push(`not ready: ${waiting.map(node => node.nodeId).join(' ')}`);
  }
  const slots = run.relaySlots();
  if (slots.includes(0)) run.faults.push(`relays: ${slots.join(' ')}`);
}

/** A document with one route per service; the number sets two timeouts. */
function documentText(value: number): string {
  const parts = ['# fleet run'];
  for (let i = 0; i < serviceCount; i++) {
    const isChanged = i === value % serviceCount || i === 0;
    const timeout = isChanged ? value + 1 : percent;
    parts.push(
      `[services.s${i}]`,
      'versions = ["v1"]',
      'current = "v1"',
      '[[routes]]',
      `name = "r${i}"`,
      `service = "s${i}"`,
      `path_prefix = "/s${i}"`,
      `timeout = "${timeout}ms"`,
    );
  }
  return parts.join('\n');
}

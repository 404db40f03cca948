import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {parse} from 'smol-toml';
import {PORTS} from './addresses.js';

const systemFile = 'deploy/system.toml';
const preload = path.resolve('apps/soak/wire-proxy.cjs');

/** Processes that run; a soak that breaks off leaves none behind. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** How a process was told to end. */
export const NODE_ENDS = {
  none: 'none',
  stop: 'stop',
  kill: 'kill',
} as const;

/** Options of {@link SoakNode}. */
export interface SoakNodeOptions {
  readonly settingsFile: string;
  readonly logFile: string;
  readonly ownAddress: string;
  readonly onExit: (node: SoakNode) => void;
}

/** A process of the hosted node, run as the deploy file says. */
export class SoakNode {
  readonly #child: ChildProcess;
  readonly exited: Promise<unknown>;
  readonly logFile: string;
  readonly startedAt = performance.now();
  told: (typeof NODE_ENDS)[keyof typeof NODE_ENDS] = NODE_ENDS.none;
  exitAt = Infinity;

  constructor(options: SoakNodeOptions) {
    const {logFile, settingsFile, ownAddress, onExit} = options;
    this.logFile = logFile;
    const out = openSync(logFile, 'a');
    const [program = '', ...args] = deployedCommand();
    this.#child = spawn(program, [...args, '--config', settingsFile], {
      stdio: ['ignore', out, out],
      env: {
        ...process.env,
        NODE_OPTIONS: `--require ${preload}`,
        SOAK_OWN_ADDRESS: ownAddress,
        SOAK_WIRE_PORT: String(PORTS.wire),
      },
    });
    closeSync(out);
    running.add(this.#child);
    this.exited = once(this.#child, 'exit');
    this.#child.on('exit', () => {
      running.delete(this.#child);
      this.exitAt = performance.now();
      onExit(this);
    });
  }

  get hasEnded(): boolean {
    return this.exitAt !== Infinity;
  }

  /** Exit status; null if a signal ended the process. */
  get status(): number | null {
    return this.#child.exitCode;
  }

  /** Whether the program has begun; before, the runtime has no signal handlers. */
  get hasBegun(): boolean {
    return this.log().includes('Program starts.');
  }

  log(): string {
    return readFileSync(this.logFile, 'utf8');
  }

  signal(name: NodeJS.Signals): void {
    if (name === 'SIGKILL') this.told = NODE_ENDS.kill;
    const isStop = name === 'SIGTERM' || name === 'SIGINT';
    if (isStop && this.told === NODE_ENDS.none) this.told = NODE_ENDS.stop;
    this.#child.kill(name);
  }
}

function deployedCommand(): string[] {
  const file = parse(readFileSync(systemFile, 'utf8')) as {
    roles: {sidecar: {run: string}};
  };
  return file.roles.sidecar.run.split(' ');
}

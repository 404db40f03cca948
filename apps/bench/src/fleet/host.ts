import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {HostCommands} from './host-commands.js';

const program = fileURLToPath(new URL('node-host.js', import.meta.url));
const stopMs = 5_000;

interface Response {
  readonly id: number;
  readonly value?: unknown;
  readonly error?: string;
}

interface Waiter {
  readonly resolve: (value: unknown) => void;
  readonly reject: (err: Error) => void;
}

/** A child process with nodes in it. @internal */
export class Host {
  readonly #child: ChildProcess;
  readonly #waiters = new Map<number, Waiter>();
  #nextId = 0;

  constructor() {
    this.#child = fork(program, {execArgv: ['--expose-gc']});
    this.#child.on('message', message => this.#settle(message as Response));
    this.#child.once('exit', code => this.#fail(code));
  }

  /** Runs a command in the process. */
  run<Name extends keyof HostCommands>(
    name: Name,
    body: Parameters<HostCommands[Name]>[0],
  ): ReturnType<HostCommands[Name]> {
    const id = this.#nextId++;
    const done = new Promise<unknown>((resolve, reject) => {
      this.#waiters.set(id, {resolve, reject});
      this.#child.send({id, name, body});
    });
    return done as ReturnType<HostCommands[Name]>;
  }

  /** Ends the process without telling the peers of its nodes. */
  async end(): Promise<void> {
    if (this.#child.exitCode !== null) return;
    const exited = new Promise(resolve => this.#child.once('exit', resolve));
    this.#child.disconnect();
    const timer = setTimeout(() => this.#child.kill('SIGKILL'), stopMs);
    await exited;
    clearTimeout(timer);
  }

  #settle({id, value, error}: Response): void {
    const waiter = this.#waiters.get(id);
    this.#waiters.delete(id);
    if (error === undefined) waiter?.resolve(value);
    else waiter?.reject(new Error(error));
  }

  #fail(code: number | null): void {
    for (const {reject} of this.#waiters.values()) {
      reject(new Error(`process with nodes ended with status ${code}`));
    }
    this.#waiters.clear();
  }
}

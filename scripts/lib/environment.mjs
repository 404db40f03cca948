/**
 * Starts a small environment as separate processes on loopback: the store
 * stand-in, and for each instance an upstream stand-in with its node.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';

const startTimeoutMs = 15_000;
const stopTimeoutMs = 15_000;
const runTimeoutMs = 30_000;
const pollMs = 100;

export const operatorToken = 'demo-operator-token-0123456789';
export const nodeKey = 'demo-node-key-0123456789';

/** Environments with processes; one listener serves all of them. */
const running = new Set();

// A test run that ends early must not leave processes behind.
process.once('exit', () => {
  for (const environment of running) environment.killNow();
});

/** Starts a program and resolves with the JSON of its first output line. */
export async function startProcess(args, options = {}) {
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...options.env},
  });
  const errors = [];
  child.stderr.on('data', chunk => errors.push(chunk));
  if (options.stderr) child.stderr.pipe(options.stderr);
  const exited = new Promise(resolve => child.once('exit', resolve));
  const lines = createInterface({input: child.stdout});
  const first = await Promise.race([
    new Promise(resolve => lines.once('line', resolve)),
    exited.then(() => null),
    sleep(startTimeoutMs, null, {ref: false}),
  ]);
  if (first === null) {
    child.kill('SIGKILL');
    throw new Error(`${args[0]} did not start: ${Buffer.concat(errors)}`);
  }
  const log = () => Buffer.concat(errors).toString();
  return {child, exited, info: JSON.parse(first), args, log};
}

/** Runs a program to its end; resolves with its exit status and output. */
export async function runProcess(args, env = {}) {
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'pipe'],
    timeout: runTimeoutMs,
    killSignal: 'SIGKILL',
    env: {...process.env, ...env},
  });
  const out = [];
  const err = [];
  child.stdout.on('data', chunk => out.push(chunk));
  child.stderr.on('data', chunk => err.push(chunk));
  const status = await new Promise(resolve => child.once('close', resolve));
  return {
    status,
    out: Buffer.concat(out).toString(),
    err: Buffer.concat(err).toString(),
  };
}

/** Kills a process, which may be frozen, and waits for its end. */
export async function killProcess({child, exited}) {
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill('SIGKILL');
  await exited;
}

/** Stops a process by SIGTERM; false when it had to be killed. */
export async function stopProcess({child, exited}) {
  if (child.exitCode !== null || child.signalCode !== null) return true;
  child.kill('SIGTERM');
  const ended = await Promise.race([
    exited.then(() => true),
    sleep(stopTimeoutMs, false, {ref: false}),
  ]);
  if (!ended) child.kill('SIGKILL');
  await exited;
  return ended;
}

function nodeToml(cfg) {
  const {name, dataCentre, region, environment, store, seeds, settings} = cfg;
  return `
[node]
id = "${name}"
environment = "${environment}"
data_centre = "${dataCentre}"
region = "${region}"

[listen]
callers = "127.0.0.1:0"
wire = "127.0.0.1:0"
admin = "127.0.0.1:0"

[store]
endpoints = ["${store}"]

[seeds]
addresses = ${JSON.stringify(seeds)}

[access]
node_key = "${nodeKey}"
operator_token = "${operatorToken}"
${settings}`;
}

/** A small environment; every process belongs to it and ends with it. */
export class Environment {
  constructor(options = {}) {
    this.environment = options.environment ?? 'production';
    this.env = options.env ?? {};
    this.stderr = options.stderr;
    this.folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-'));
    this.instances = [];
    this.processes = [];
    running.add(this);
  }

  /** Sends SIGKILL to every process without waiting for its end. */
  killNow() {
    for (const {child} of this.processes) child.kill('SIGKILL');
  }

  async startStore() {
    this.store = await this.#start([
      'apps/store-standin/dist/main.js',
      '--port',
      '0',
    ]);
    return this.store;
  }

  /** Starts a node and, unless told otherwise, the upstream beside it. */
  async startInstance(spec) {
    const {name, service, version = 'v1', dataCentre, region = 'cz'} = spec;
    const file = path.join(this.folder, `${name}.toml`);
    const seeds = this.instances
      .slice(0, 2)
      .map(instance => instance.node.info.wire);
    writeFileSync(
      file,
      nodeToml({
        name,
        dataCentre,
        region,
        environment: spec.environment ?? this.environment,
        store: this.store.info.url,
        seeds,
        settings: spec.settings ?? '',
      }),
    );
    const node = await this.#start([
      'apps/node/dist/main.js',
      '--config',
      file,
    ]);
    const upstream =
      spec.upstream === false
        ? null
        : await this.startUpstream({...spec, service, version, node});
    const instance = {...spec, version, node, upstream};
    this.instances.push(instance);
    return instance;
  }

  async startUpstream({node, service, version, upstreamArgs = []}) {
    return this.#start([
      'apps/upstream-standin/dist/main.js',
      ...['--service', service, '--version', version],
      ...['--node', `http://${node.info.admin}`],
      ...upstreamArgs,
    ]);
  }

  /** Stops the upstream, then the node; false when one had to be killed. */
  async stopInstance(instance) {
    this.instances = this.instances.filter(other => other !== instance);
    const graceful = [];
    if (instance.upstream) graceful.push(await stopProcess(instance.upstream));
    graceful.push(await stopProcess(instance.node));
    return graceful.every(Boolean);
  }

  /** Runs the command line; resolves with its exit status and output. */
  async cli(...args) {
    return this.cliAt(this.instances[0], args);
  }

  /** Runs the command line against the node of one instance. */
  async cliAt(instance, args, token = operatorToken) {
    const admin = instance.node.info.admin;
    return runProcess(
      ['apps/cli/dist/main.js', ...args, '--node', `http://${admin}`],
      {VERBENABEAM_TOKEN: token},
    );
  }

  /**
   * Waits until every node serves calls. A fresh node refuses them (1603) until
   * it has asked its peers for the highest version, even if it holds one.
   */
  async untilReady() {
    for (const {node} of this.instances) {
      const ready = async () => {
        const res = await fetch(`http://${node.info.admin}/healthz`);
        return (await res.json()).ready;
      };
      await waitUntil(ready, `node ${node.info.nodeId} serves calls`);
    }
  }

  /** Kills the node and the upstream of an instance. */
  async killInstance(instance) {
    this.instances = this.instances.filter(other => other !== instance);
    await killProcess(instance.node);
    if (instance.upstream) await killProcess(instance.upstream);
  }

  /** Writes a document to a file of the environment. */
  writeDocument(name, text) {
    const file = path.join(this.folder, name);
    writeFileSync(file, text);
    return file;
  }

  /** Stops everything; false when a process had to be killed. */
  async stop() {
    const graceful = [];
    for (const instance of [...this.instances]) {
      graceful.push(await this.stopInstance(instance));
    }
    for (const started of this.processes) {
      graceful.push(await stopProcess(started));
    }
    this.#end();
    return graceful.every(Boolean);
  }

  /** Kills every process at once. */
  async kill() {
    await Promise.all(this.processes.map(killProcess));
    this.#end();
  }

  #end() {
    rmSync(this.folder, {recursive: true, force: true});
    running.delete(this);
  }

  async #start(args) {
    const started = await startProcess(args, {
      env: this.env,
      stderr: this.stderr,
    });
    this.processes.push(started);
    return started;
  }
}

/** Repeats a check until it holds; throws after the time limit. */
export async function waitUntil(check, what, timeoutMs = 15_000) {
  const endAt = Date.now() + timeoutMs;
  while (Date.now() < endAt) {
    if (await check()) return;
    await sleep(pollMs);
  }
  throw new Error(`timed out waiting until ${what}`);
}

/** A small deployment: nodes of the project as processes, all else stand-ins. */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {AppServer} from './server.mjs';
import {Proxy} from './proxy.mjs';
import {Store} from './store.mjs';

export const EXIT = {held: 0, broken: 1, couldNotRun: 2};
/** Bounds of the sites (SYSTEM.md). */
export const BOUNDS = {
  stabilityWindowMs: 3_000,
  drainMs: 2_000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  addrReuseMs: 2_000,
};
export const host = 'shop.example';
export const isTrouble = process.env.TROUBLE !== '0';
export {sleep};

const root = fileURLToPath(new URL('../../', import.meta.url));
const zones = ['zone-a', 'zone-b', 'zone-c'];
const metricsPort = 9464;
const maxRunMs = 110_000;
const readyTimeoutMs = 20_000;

export class Scene {
  machines = [];
  store = new Store();
  #storeProxy = new Proxy();
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #recordFile;
  #startAt = performance.now();
  #network = '';
  #version = 0;

  /** @param caseFolder - Where `record.txt` is written. */
  constructor(caseFolder) {
    this.#recordFile = join(caseFolder, 'record.txt');
    writeFileSync(this.#recordFile, '');
    this.record(`trouble: ${isTrouble}`);
  }

  /** Milliseconds since the script began. */
  at(time = performance.now()) {
    return Math.round(time - this.#startAt);
  }

  record(text) {
    appendFileSync(
      this.#recordFile,
      `${String(this.at()).padStart(6)} ms  ${text}\n`,
    );
  }

  /**
   * Starts the store and one machine for each entry of `services`.
   *
   * @param services - Options of the server of each machine.
   */
  async start(services) {
    this.#network = await freeNetwork();
    const [storeHost, proxyHost] = [this.#ip(1), this.#ip(2)];
    const direct = await this.store.start(storeHost, 8627);
    this.storeAddress = await this.#storeProxy.start(proxyHost, 8627, direct);
    services.forEach((server, i) => this.#addMachine(server, i));
  }

  /** Starts all nodes, waits for the servers and the nodes to be ready. */
  async run() {
    for (const machine of this.machines) await this.startNode(machine);
    for (const machine of this.machines) {
      const {address, server, control} = machine;
      await server.start(address, 8628, control);
    }
    await this.#until(async () => {
      const beats = this.machines.map(({server}) => server.beat());
      return (await Promise.all(beats)).every(status => status === 200);
    }, 'heartbeats are acknowledged');
    await this.#until(async () => {
      const checks = this.machines.map(machine => isReady(machine));
      return (await Promise.all(checks)).every(Boolean);
    }, 'all nodes are ready');
    await sleep(2_000);
  }

  /** Writes the next version of the configuration; returns the time of its ack. */
  configure(rules) {
    const services = [...new Set(rules.map(({service}) => service))];
    const version = (this.#version += 3).toString(16).padStart(8, '0');
    this.store.put('op/config', {
      version,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 5_000,
        idle_timeout_ms: 20_000,
      },
      listeners: [{host, rules: rules.map(rule => toRule(rule))}],
      clusters: services.map(name => ({name, health_path: '/healthz'})),
    });
    this.record(`operator: version ${version} is acknowledged`);
    return performance.now();
  }

  /** Open channels to the store pass nothing on any more; new ones work. */
  silenceStoreChannels() {
    const count = this.#storeProxy.silenceOpenChannels();
    this.record(`${count} open channels to the store go silent`);
  }

  async startNode(machine) {
    const {nodeId, settingsFile} = machine;
    const [program, ...args] = deployCommand();
    const child = spawn(program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        VERBENABEAM_BOOT: settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.log = '';
    child.stdout.on('data', chunk => (machine.log += chunk));
    child.stderr.on('data', chunk => (machine.log += chunk));
    machine.exit = null;
    child.on('exit', (code, signal) => {
      machine.exit = {code, signal, at: performance.now()};
      this.record(`${nodeId}: process ended, status ${code}, signal ${signal}`);
    });
    machine.child = child;
    this.record(`${nodeId}: process ${child.pid} started`);
  }

  signal(machine, name) {
    machine.child.kill(name);
    this.record(`${machine.nodeId}: ${name} sent`);
    return performance.now();
  }

  /**
   * Gives the address of a machine's server, which has ended, to a server of
   * another service: changes the settings file, without a signal, and starts it.
   */
  async reuseAddress(machine, options) {
    const {settingsFile, server, zone, address, control} = machine;
    const settings = readFileSync(settingsFile, 'utf8').replace(
      `service = "${server.service}"`,
      `service = "${options.service}"`,
    );
    writeFileSync(`${settingsFile}.new`, settings);
    renameSync(`${settingsFile}.new`, settingsFile);
    this.record(`${machine.nodeId}: its settings name ${options.service}`);
    machine.formerServers.push(server);
    machine.server = new AppServer({
      id: `${server.id}-reused`,
      zone,
      ...options,
    });
    await machine.server.start(address, 8628, control);
  }

  /** All arrivals at servers, by request id. */
  arrivals() {
    const found = new Map();
    const servers = this.machines.flatMap(({server, formerServers}) => [
      server,
      ...formerServers,
    ]);
    for (const row of servers.flatMap(({arrivals}) => arrivals)) {
      found.set(row.id, [...(found.get(row.id) ?? []), row]);
    }
    return found;
  }

  stop() {
    for (const {child, server} of this.machines) {
      if (child && child.exitCode === null) child.kill('SIGKILL');
      server.stop();
    }
    this.#storeProxy.stop();
    this.store.stop();
    rmSync(this.#folder, {recursive: true, force: true});
  }

  async #until(check, what) {
    const endAt = performance.now() + readyTimeoutMs;
    while (!(await check())) {
      if (performance.now() > endAt) throw new Error(`not in time: ${what}`);
      await sleep(200);
    }
  }

  #ip(number) {
    return `${this.#network}.${number}`;
  }

  #addMachine(serverOptions, i) {
    const address = this.#ip(10 + i);
    const nodeId = `sidecar-${i + 1}`;
    const zone = zones[i % zones.length];
    const machine = {
      nodeId,
      address,
      zone,
      outbound: `${address}:8629`,
      ready: `${address}:8625`,
      control: `${address}:8620`,
      settingsFile: join(this.#folder, `${nodeId}.toml`),
      server: new AppServer({id: `i-${i + 1}`, zone, ...serverOptions}),
      formerServers: [],
      child: null,
    };
    writeFileSync(machine.settingsFile, this.#settings(machine));
    this.machines.push(machine);
  }

  #settings({nodeId, address, zone, outbound, ready, control, server}) {
    return `node_id = "${nodeId}"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${address}"
zone = "${zone}"
region = "region-1"
internal_port_range = [7600, 7615]
seeds = []
bootstrap = true
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","rollout","platform"]
app_addr = "${address}:8628"
service = "${server.service}"
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
inbound = "${address}:8624"
outbound = "${outbound}"
ready = "${ready}"
control = "${control}"
[limits]
cpu_share = 0.54
cpu_cores = 1
memory_mb = 200
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 60
canary_share = 0.1
canary_slack = 50
rollback_ms = 5000
recovery_s = 15
[platform]
address = "${this.storeAddress}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`;
  }
}

/** Runs a case and exits with its result; ends all processes in any event. */
export async function runCase(caseUrl, play) {
  const scene = new Scene(fileURLToPath(new URL('.', caseUrl)));
  const limit = setTimeout(() => {
    scene.record('the case took too long');
    scene.stop();
    process.exit(EXIT.couldNotRun);
  }, maxRunMs);
  if (!existsSync(join(root, 'target/verbenabeam.mjs'))) {
    scene.record('target/verbenabeam.mjs is missing: build the deploy file');
    process.exit(EXIT.couldNotRun);
  }
  for (const name of ['SIGTERM', 'SIGINT']) {
    process.once(name, () => {
      scene.stop();
      process.exit(EXIT.couldNotRun);
    });
  }
  let result = EXIT.couldNotRun;
  try {
    result = await play(scene);
  } catch (err) {
    scene.record(`the case could not run: ${err.stack}`);
    for (const {nodeId, log} of scene.machines) {
      if (log) scene.record(`${nodeId} wrote last: ${log.slice(-2_000)}`);
    }
  }
  clearTimeout(limit);
  scene.record(`result: exit status ${result}`);
  scene.stop();
  process.exit(result);
}

function toRule({prefix, service, kind = 'safe', timeoutMs = 2_000}) {
  return {
    name: `route${prefix.replaceAll('/', '-')}`,
    kind,
    priority: 1,
    target_latency_ms: 600,
    match: {prefix},
    action: {service, timeout_ms: timeoutMs, max_attempts: 2},
  };
}

/** The command of the deploy file. */
function deployCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (!run) throw new Error('deploy/system.toml names no command');
  return run.split(' ');
}

function isReady({ready}) {
  return new Promise(resolve => {
    const [ip, port] = ready.split(':');
    const socket = net.connect({host: ip, port: Number(port)});
    socket.setTimeout(1_000, () => socket.destroy());
    socket.on('error', () => resolve(false));
    socket.on('close', () => resolve(false));
    socket.once('data', chunk => {
      resolve(chunk.toString().startsWith('HTTP/1.1 200'));
      socket.destroy();
    });
    socket.write(`GET /ready HTTP/1.1\r\nHost: ${ready}\r\n\r\n`);
  });
}

/** The first three numbers of a loopback network on which nobody listens. */
async function freeNetwork() {
  for (let tries = 0; tries < 50; tries++) {
    const [b, c] = [16 + random(200), 1 + random(250)];
    const network = `127.${b}.${c}`;
    const isFree = await Promise.all(
      [8620, 8624, 8625, 8627, 8628, 8629, metricsPort].map(port =>
        canListen(`${network}.10`, port),
      ),
    );
    if (isFree.every(Boolean)) return network;
  }
  throw new Error('no free loopback addresses');
}

function canListen(ip, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

function random(below) {
  return Math.floor(Math.random() * below);
}

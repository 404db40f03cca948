// Starts the project's own program as the deploy file says, with settings like
// those of a small deployment, on loopback addresses.
import {spawn} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';
import {freePort, sleep} from './platform.mjs';

/** Root of the repository. */
export const root = fileURLToPath(new URL('../../', import.meta.url));

/** The command of the deploy file, split at spaces. */
function command() {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Starts and ends nodes. */
export class Nodes {
  #dir = mkdtempSync(path.join(tmpdir(), 'vb-review-'));
  #children = new Set();
  #log = [];

  /** Also ends the processes if this one is told to end. */
  constructor() {
    for (const name of ['SIGTERM', 'SIGINT'])
      process.once(name, () => process.exit(2));
    process.once('exit', () => this.#endAll());
  }

  /** Writes the settings of a node and starts it. */
  async add({nodeId, zone, ip, service, appAddress, store, heartbeatMs, rest}) {
    const [inbound, outbound, ready, control] = [];
    const node = {nodeId, ip, inbound, outbound, ready, control};
    const used = new Set([appAddress]);
    for (const name of ['inbound', 'outbound', 'ready', 'control']) {
      while (!node[name] || used.has(node[name]))
        node[name] = `${ip}:${await freePort(ip)}`;
      used.add(node[name]);
    }
    node.file = path.join(this.#dir, `${nodeId}.toml`);
    node.settings = settingsOf({
      ...node,
      zone,
      service,
      appAddress,
      store,
      heartbeatMs: heartbeatMs ?? 1_500,
      ...rest,
    });
    writeFileSync(node.file, node.settings);
    this.start(node);
    return node;
  }

  /** Starts the process of a node. */
  start(node) {
    const [program, ...args] = command();
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: root,
      env: {PATH, HOME, LANG, VERBENABEAM_BOOT: node.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    node.exit = null;
    this.#children.add(child);
    const keep = data => {
      this.#log.push(`${node.nodeId} ${data.toString('utf8')}`);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      node.exit = {code, signal, at: performance.now()};
      this.#children.delete(child);
    });
  }

  /** Waits until the node answers 200 to the readiness check. */
  async untilReady(node, withinMs = 20_000) {
    const endAt = performance.now() + withinMs;
    while (performance.now() < endAt) {
      if ((await statusOf(node.ready, '/ready')) === 200) return;
      await sleep(100);
    }
    const ended = node.exit ? JSON.stringify(node.exit) : 'still runs';
    throw new Error(
      `${node.nodeId} was not ready in ${withinMs} ms; its process: ${ended}\n` +
        `${node.settings}\n${this.log.slice(-6_000)}`,
    );
  }

  get log() {
    return this.#log.join('');
  }

  /** Ends all processes that were started. */
  async stop() {
    this.#endAll();
    while (this.#children.size > 0) await sleep(20);
  }

  #endAll() {
    for (const child of this.#children) child.kill('SIGKILL');
    rmSync(this.#dir, {recursive: true, force: true});
  }
}

/** Whether the deploy file's build has been made. */
export function isBuilt() {
  return existsSync(path.join(root, 'target/verbenabeam.mjs'));
}

/** Status of a GET; 0 without an answer. */
export function statusOf(address, target) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const req = http.get(
      {host, port, path: target, agent: false, timeout: 1_000},
      res => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });
}

function settingsOf(s) {
  return `node_id = "${s.nodeId}"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${s.ip}"
zone = "${s.zone}"
region = "cz-central"
seeds = []
heartbeat_ms = ${s.heartbeatMs}
contracts = ["base","drain","config","cost","retry","recover","rollout","platform"]
app_addr = "${s.appAddress}"
service = "${s.service}"
[zones]
prg-a = "cz-central"
prg-b = "cz-central"
prg-c = "cz-central"
[listen]
inbound = "${s.inbound}"
outbound = "${s.outbound}"
ready = "${s.ready}"
control = "${s.control}"
[limits]
cpu_share = 0.54
cpu_cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
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
address = "${s.store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`;
}

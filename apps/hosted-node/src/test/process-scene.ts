import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  bootText,
  configKey,
  configText,
  KvStandin,
  ServerStandin,
  testPorts,
  waitUntil,
} from '@verbenabeam/platform/fakes';
import type {TestPorts, TestRule} from '@verbenabeam/platform/fakes';
import {askNode} from './ask-node.js';

const service = 'shop';
const heartbeatMs = 300;
const usualSlots = 4;
const startWithinMs = 15_000;

/** The program before it is bundled. */
export const unbundledProgram = 'apps/hosted-node/dist/main.js';

/** A process of the hosted node, with what it wrote. */
export class NodeProcess {
  log = '';
  readonly child: ChildProcess;

  /** @param args - The program with its options. */
  constructor(args: readonly string[]) {
    this.child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const out of [this.child.stdout, this.child.stderr]) {
      out?.on('data', (piece: Buffer) => {
        this.log += String(piece);
      });
    }
  }

  get hasEnded(): boolean {
    const {exitCode, signalCode} = this.child;
    return exitCode !== null || signalCode !== null;
  }

  /** How the process ended, for messages. */
  get end(): string {
    const {exitCode, signalCode} = this.child;
    return `status ${exitCode}, signal ${signalCode}\n${this.log}`;
  }

  async kill(): Promise<void> {
    if (this.hasEnded) return;
    const ended = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await ended;
  }
}

/** One hosted node as a process, beside stand-ins of its store and its upstream. */
export class ProcessScene {
  readonly store = new KvStandin();
  readonly server: ServerStandin;
  readonly ports: TestPorts;
  readonly #folder = mkdtempSync(path.join(tmpdir(), 'verbenabeam-'));
  #node: NodeProcess | null = null;

  private constructor(ports: TestPorts, slots: number) {
    this.ports = ports;
    this.server = new ServerStandin('i-1', service, 'v1', slots);
  }

  /** Starts the stand-ins; the store is empty. */
  static async create(slots = usualSlots): Promise<ProcessScene> {
    const scene = new ProcessScene(await testPorts(), slots);
    await scene.store.start();
    await scene.server.start();
    return scene;
  }

  /**
   * Starts a node with a configuration and resolves once it answers calls.
   *
   * @param program - The program with options of Node.js, without its settings.
   */
  static async serving(
    program: readonly string[],
    rule: Partial<TestRule> = {},
    slots = usualSlots,
  ): Promise<ProcessScene> {
    const scene = await ProcessScene.create(slots);
    try {
      scene.configure(rule);
      await scene.startNode(program);
      await scene.#untilServing();
      return scene;
    } catch (err) {
      await scene.stop();
      throw err;
    }
  }

  get node(): NodeProcess {
    if (!this.#node) throw new Error('no node was started');
    return this.#node;
  }

  /** Writes a configuration that routes all calls to the upstream. */
  configure(rule: Partial<TestRule> = {}): void {
    const rules = [{prefix: '/', service, ...rule}];
    this.store.put(configKey, configText(1, rules, [service]));
  }

  /**
   * Starts the node and resolves with its first output.
   *
   * @param program - The program with options of Node.js, without its settings.
   */
  async startNode(program: readonly string[]): Promise<void> {
    const file = path.join(this.#folder, 'boot.toml');
    const {server, ports, store} = this;
    writeFileSync(file, bootText('node-1', server, ports, store.address));
    const node = new NodeProcess([...program, '--config', file]);
    this.#node = node;
    const hasBegun = () => node.hasEnded || node.log !== '';
    await waitUntil(hasBegun, startWithinMs, 'first output');
    if (node.hasEnded) throw new Error(`the node ended: ${node.end}`);
  }

  async stop(): Promise<void> {
    await this.#node?.kill();
    this.server.stop();
    this.store.stop();
    rmSync(this.#folder, {recursive: true});
  }

  async #untilServing(): Promise<void> {
    const {callers, ready, control} = this.ports;
    const isUp = async () =>
      (await fetch(`http://${ready}/ready`).catch(() => null)) !== null;
    await waitUntil(isUp, startWithinMs, 'started');
    this.server.beatTo(control, heartbeatMs);
    const isAnswered = async () => (await askNode(callers, 'first')) === 200;
    await waitUntil(isAnswered, startWithinMs, 'answered');
  }
}

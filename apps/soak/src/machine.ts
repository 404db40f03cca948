import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {bootText, ServerStandin} from '@verbenabeam/platform/fakes';
import {PORTS} from './addresses.js';
import type {Addresses} from './addresses.js';
import {LinkProxy} from './link-proxy.js';
import {SoakNode} from './soak-node.js';

const heartbeatMs = 300;
const slots = 4;

/** Options of {@link Machine}. */
export interface MachineOptions {
  /** Number of the machine, from 1. */
  readonly at: number;
  readonly service: string;
  readonly addresses: Addresses;
  readonly folder: string;
  readonly onExit: (machine: Machine, node: SoakNode) => void;
}

/** An upstream, in this process, with its node and the proxies in front of both. */
export class Machine {
  readonly at: number;
  readonly ip: string;
  readonly wire: LinkProxy;
  readonly upstream: LinkProxy;
  /** All upstreams that ran here, the present one last. */
  readonly servers: ServerStandin[] = [];
  /** All processes, the present one last. */
  readonly nodes: SoakNode[] = [];
  /** The upstream is being replaced. */
  isChanging = false;
  readonly #options: MachineOptions;
  /** Where the upstream listens behind its proxy. */
  #serverAddress = '';

  constructor(options: MachineOptions) {
    const {at, addresses} = options;
    this.#options = options;
    this.at = at;
    this.ip = addresses.node(at);
    this.wire = new LinkProxy(() => addresses.ports(at).wire);
    this.upstream = new LinkProxy(() => this.#serverAddress);
  }

  get node(): SoakNode {
    const last = this.nodes.at(-1);
    if (!last) throw new Error(`node ${this.at} was not started`);
    return last;
  }

  get server(): ServerStandin {
    const last = this.servers.at(-1);
    if (!last) throw new Error(`upstream ${this.at} was not started`);
    return last;
  }

  get control(): string {
    return this.#options.addresses.ports(this.at).control;
  }

  async start(): Promise<void> {
    const {addresses} = this.#options;
    await this.wire.start(addresses.wireProxy(this.at), PORTS.wire);
    await this.startUpstreamProxy();
    await this.startServer();
    this.startNode();
  }

  async startUpstreamProxy(): Promise<void> {
    const {addresses} = this.#options;
    await this.upstream.start(addresses.upstream(this.at), PORTS.upstream);
  }

  /** Starts a new process of the upstream, at the same address. */
  async startServer(): Promise<void> {
    const {service, addresses} = this.#options;
    const id = `up-${this.at}-${this.servers.length + 1}`;
    const server = new ServerStandin(id, service, 'v1', slots);
    await server.start();
    this.#serverAddress = server.address;
    server.address = `${addresses.upstream(this.at)}:${PORTS.upstream}`;
    server.bornAt = Date.now();
    this.servers.push(server);
    server.beatTo(this.control, heartbeatMs);
  }

  startNode(): void {
    const {addresses, folder, onExit, service} = this.#options;
    const name = `node-${this.at}`;
    const settingsFile = path.join(folder, `${name}.toml`);
    const store = `${addresses.store}:${PORTS.store}`;
    const address = `${addresses.upstream(this.at)}:${PORTS.upstream}`;
    const ports = addresses.ports(this.at);
    const text = bootText(name, {service, address}, ports, store);
    writeFileSync(settingsFile, text);
    const node = new SoakNode({
      settingsFile,
      logFile: path.join(folder, `${name}-${this.nodes.length + 1}.log`),
      ownAddress: this.ip,
      onExit: ended => onExit(this, ended),
    });
    this.nodes.push(node);
  }

  async stop(): Promise<void> {
    if (!this.node.hasEnded) {
      this.node.signal('SIGKILL');
      await this.node.exited;
    }
    for (const server of this.servers) server.stop();
    this.wire.stop();
    this.upstream.stop();
  }
}

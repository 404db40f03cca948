import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {startUpstream} from '@verbenabeam/app-upstream-standin';
import type {
  StandinOptions,
  UpstreamStandin,
} from '@verbenabeam/app-upstream-standin';
import {seededRandom} from '@verbenabeam/core';
import {RetryBudget, RetryAllowances} from '@verbenabeam/routing';
import type {AdaptiveThrottle} from '@verbenabeam/routing';
import {TcpPeerBus} from '@verbenabeam/wire';
import {CALL_STREAM} from '../call-head.js';
import {CallLog} from '../call-log.js';
import type {CallProtocol} from '../call-protocol.js';
import {EntryHandler} from '../entry-handler.js';
import {nativeProtocol} from '../native-protocol.js';
import {ServingHandler} from '../serving-handler.js';
import {CallScheduler} from '../call-scheduler.js';
import {
  collectingInvariants,
  FakeAdmission,
  FakeClaims,
  FakeConfig,
  FakeInstances,
  FakeQuarantine,
  FakeUpstream,
  FakeVersions,
} from './test-ports.js';

/** A node with a data path on real sockets, an upstream and fakes of the other ports. */
export class TestNode {
  readonly config = new FakeConfig();
  readonly instances = new FakeInstances();
  readonly admission = new FakeAdmission();
  readonly quarantine = new FakeQuarantine();
  readonly versions = new FakeVersions();
  readonly ownUpstream = new FakeUpstream();
  /** Delay of the event loop; data that is read now may have waited this long. */
  readonly loop = {lateMs: 0};
  /** Large enough not to limit retries: the tests count those of whole call chains. */
  readonly retries = new RetryBudget({burst: 1e6});
  /** Test nodes may share one object. */
  claims = new FakeClaims();
  readonly log = new CallLog();
  readonly bus: TcpPeerBus;
  readonly serving: ServingHandler;
  readonly entry: EntryHandler;
  readonly #server: http.Server;
  wireAddress = '';
  url = '';
  upstream: UpstreamStandin | null = null;

  constructor(
    readonly nodeId: string,
    readonly broken: string[],
    throttle?: AdaptiveThrottle,
    protocol: CallProtocol = nativeProtocol,
  ) {
    const {config, instances, admission, quarantine} = this;
    const ledger = new RetryAllowances();
    const scheduler = new CallScheduler({loop: this.loop});
    const invariants = collectingInvariants(broken);
    this.bus = new TcpPeerBus({nodeId, nodeKey: Buffer.from('test key')});
    this.serving = new ServingHandler({
      upstream: this.ownUpstream,
      admission,
      quarantine,
      stopped: this.versions,
      ledger,
      protocol,
      scheduler: scheduler,
      invariants,
    });
    this.entry = new EntryHandler({
      config,
      instances,
      versions: this.versions,
      retries: this.retries,
      ledger,
      claims: {
        begin: claim => this.claims.begin(claim),
        finish: (claim, end) => this.claims.finish(claim, end),
      },
      bus: this.bus,
      serving: this.serving,
      observer: this.log,
      protocol,
      scheduler: scheduler,
      ...(throttle ? {throttle} : {}),
      random: seededRandom(1),
      invariants,
    });
    this.bus.onStream(CALL_STREAM, this.serving.onStream);
    this.#server = http.createServer(this.entry.handle);
    this.#server.on('connection', this.entry.onConnection);
  }

  async start(options: Partial<StandinOptions>): Promise<void> {
    const started = await this.bus.start('127.0.0.1:0');
    this.wireAddress = started.unwrapOr('');
    await once(this.#server.listen(0, '127.0.0.1'), 'listening');
    const {port} = this.#server.address() as AddressInfo;
    this.url = `http://127.0.0.1:${port}`;
    const names = {service: 'files', version: 'v1'};
    this.upstream = await startUpstream({...names, ...options});
    const {address} = this.upstream;
    this.ownUpstream.own = {...names, address, state: 'ready'};
  }

  /** Sets the nodes to which this node forwards the calls it receives. */
  sendTo(...nodes: TestNode[]): void {
    this.instances.targets = nodes.map(node => ({
      nodeId: node.nodeId,
      address: node.wireAddress,
      local: node === this,
    }));
  }

  async stop(): Promise<void> {
    this.upstream?.crash();
    this.#server.close();
    this.#server.closeAllConnections();
    await this.bus.close();
    await this.serving.close();
  }
}

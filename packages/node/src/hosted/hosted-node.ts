import {setMaxListeners} from 'node:events';
import type {Server} from 'node:http';
import net from 'node:net';
import {
  Invariants,
  logger,
  newId,
  processRandom,
  systemClock,
} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {CallerLimits} from '@verbenabeam/document';
import type {Store} from '@verbenabeam/store';
import {systemSleep} from '@verbenabeam/store';
import {TcpPeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import {AcceptDelayMonitor} from '../calls/index.js';
import type {CallProtocol} from '../calls/index.js';
import {listen} from '../listen.js';
import {WarmUp} from '../warm-up/index.js';
import type {WarmUpSample} from '../warm-up/index.js';
import {callerBacklog} from './caller-connections.js';
import {CallerServer} from './caller-server.js';
import {HostedParts} from './hosted-parts.js';
import type {HostedSettings} from './hosted-settings.js';
import {
  createAnnouncementServer,
  createMetricsServer,
  createReadinessServer,
} from './listeners.js';
import type {OperatorFormat} from './operator-documents.js';
import {sleepUntil, sleepWhile} from './sleep-until.js';
import type {UpstreamFormat} from './upstream-report.js';
import {readWaitingArrivals} from './waiting-arrivals.js';

const log = logger('node');
/** Timers and loops that stop on abort; each rollout adds a few. */
const maxAbortListeners = 32;
/** Added to the callers' idle limit, so that no request races with the close. */
const idleMarginMs = 2_000;
/** Idle limit until the first configuration arrives. */
const defaultIdleMs = 30_000;
/** Callers stop sending after two readiness checks, 1 s apart, without a 200. */
const callerDrainMs = 2_600;
/** Within this time all peers know that this node is draining. */
const drainPropagationMs = 500;
/** Part of the grace period for the last answers and for leaving the store. */
const shutdownReserveMs = 1_000;
/** Part of it in which the last answers leave. */
const lastAnswersMs = 700;
/** Dead connections between nodes are detected within about 2 s. */
const wireTimeouts = {
  connectTimeoutMs: 1_000,
  pingAfterMs: 500,
  silenceLimitMs: 1_500,
};

/** Dependencies of a {@link HostedNode}. @public */
export interface HostedNodeOptions {
  readonly settings: HostedSettings;
  readonly protocol: CallProtocol;
  readonly operatorFormat: OperatorFormat;
  readonly upstreamFormat: UpstreamFormat;
  /** A typical call for the warm-up; without it there is no warm-up. */
  readonly sample?: WarmUpSample;
  /** The platform's store; the node closes it. */
  readonly store: Store & {close(): Promise<void>};
}

/** A node that takes its configuration from the platform's store. @public */
export class HostedNode {
  readonly #options: HostedNodeOptions;
  readonly #parts: HostedParts;
  readonly #bus: TcpPeerBus;
  readonly #shutdown: AbortController;
  readonly #callers: CallerServer;
  readonly #otherServers: readonly Server[];
  #settings: HostedSettings;

  private constructor(
    options: HostedNodeOptions,
    bus: TcpPeerBus,
    memberId: string,
    wireAddress: string,
  ) {
    this.#options = options;
    this.#settings = options.settings;
    this.#bus = bus;
    this.#shutdown = new AbortController();
    setMaxListeners(maxAbortListeners, this.#shutdown.signal);
    const invariants = new Invariants();
    invariants.onBroken((code, details) => {
      log('Invariant violated.', {code: code.code, ...details});
    });
    this.#parts = new HostedParts({
      ...options,
      memberId,
      wireAddress,
      bus,
      clock: systemClock,
      random: processRandom(),
      invariants,
      signal: this.#shutdown.signal,
    });
    this.#callers = new CallerServer({
      keepAliveMs: defaultIdleMs + idleMarginMs,
      maxDescriptors: options.settings.maxDescriptors,
      handle: (req, res) => this.#parts.entry.handle(req, res),
    });
    this.#callers.server.on('connection', () => {
      this.#parts.load.recordConnection();
      this.#parts.entry.onConnection();
    });
    this.#parts.onConfig = ({document}) => {
      if (document.callerLimits) this.#applyLimits(document.callerLimits);
    };
    this.#otherServers = this.#createListeners();
  }

  /** Starts a node. Error: `wire.listenFailed`. */
  static async start(
    options: HostedNodeOptions,
  ): Promise<Result<HostedNode, MeshError>> {
    const {settings} = options;
    // A restarted process gets a new member id: its clock may be behind.
    const memberId = `${settings.nodeId}.${newId()}`;
    const bus = new TcpPeerBus({
      nodeId: memberId,
      // Nodes have no shared secret; this key only rejects unrelated programs.
      nodeKey: Buffer.from(`verbenabeam ${settings.store.address}`),
      ...wireTimeouts,
    });
    const started = await bus.start(settings.listen.wire);
    if (started.isErr) return Result.err(started.error);
    const node = new HostedNode(options, bus, memberId, started.value);
    const failure = await node.#listen();
    if (failure) {
      await node.#close();
      return Result.err(failure);
    }
    node.#parts.start();
    node.#startAcceptMonitor();
    void node.#warmUp();
    const {nodeId, service, listen: addresses} = settings;
    log('Node started.', {nodeId, service, ...addresses, pid: process.pid});
    return Result.ok(node);
  }

  /**
   * Drains and stops the node. Callers are sent away first; calls that the
   * upstream makes are served until its last request has ended.
   */
  async stop(): Promise<void> {
    const startAt = performance.now();
    const parts = this.#parts;
    const {graceMs} = this.#settings.bounds;
    const drainDeadlineAt = startAt + graceMs - shutdownReserveMs;
    log('Node stops.', {graceMs, inFlight: parts.entry.inFlight});
    parts.beginDrain();
    this.#callers.closesConnections = true;
    await systemSleep(drainPropagationMs);
    const served = parts.serving.drain();
    await systemSleep(callerDrainMs - drainPropagationMs);
    parts.entry.setStopDeadline(drainDeadlineAt);
    await Promise.race([served, sleepUntil(drainDeadlineAt)]);
    await readWaitingArrivals(this.#callers.server);
    // The HTTP server would close idle connections too, on which calls still come.
    net.Server.prototype.close.call(this.#callers.server);
    await Promise.race([parts.entry.drain(), sleepUntil(drainDeadlineAt)]);
    await sleepWhile(() => this.#callers.closing.isSending, drainDeadlineAt);
    const cut = parts.entry.inFlight + parts.serving.inFlight;
    parts.entry.cutCalls();
    await Promise.race([parts.leave(), systemSleep(shutdownReserveMs / 2)]);
    await readWaitingArrivals(this.#callers.server);
    // Calls may still wait to be started, and are then refused.
    const isAnswering = () =>
      parts.entry.inFlight > 0 || this.#callers.closing.isSending;
    await sleepWhile(isAnswering, drainDeadlineAt + lastAnswersMs);
    await this.#close();
    log('Node stopped.', {ms: Math.round(performance.now() - startAt), cut});
  }

  /**
   * Applies changed settings. Names and addresses change only at a restart.
   */
  reload(settings: HostedSettings): void {
    this.#settings = settings;
    this.#parts.reload(settings);
    log('Settings reloaded.', {bounds: settings.bounds});
  }

  /** Number of live nodes, this one included. */
  get liveNodes(): number {
    return this.#parts.membership.live().length;
  }

  /** Counts an error that no handler has caught. */
  recordUnexpectedError(): void {
    this.#parts.metrics.recordUnexpectedError();
  }

  /**
   * Resets the connections of callers whose answers are not whole, at once: when a
   * process ends, the system closes its connections as if all had been sent.
   */
  resetUnfinished(): void {
    this.#callers.closing.resetUnfinished();
  }

  /** Stops at once and aborts calls in flight, as a crash does. @internal */
  abort(): Promise<void> {
    return this.#close();
  }

  /** Parts of the node, for tests. @internal */
  get parts(): HostedParts {
    return this.#parts;
  }

  #createListeners(): readonly Server[] {
    const {upstreamFormat} = this.#options;
    const parts = this.#parts;
    return [
      createReadinessServer(upstreamFormat.readinessPath, () => parts.isReady),
      createAnnouncementServer(upstreamFormat, message =>
        parts.upstream.take(message),
      ),
      createMetricsServer(parts.metrics),
    ];
  }

  async #listen(): Promise<MeshError | null> {
    const {callers, readiness, announcements, metrics} =
      this.#options.settings.listen;
    const addresses = [readiness, announcements, metrics];
    const pairs = this.#otherServers.map(
      (server, i) => [server, addresses[i] ?? null] as const,
    );
    for (const [server, address] of [
      [this.#callers.server, callers] as const,
      ...pairs,
    ]) {
      if (address === null) continue;
      const backlog =
        server === this.#callers.server ? callerBacklog : undefined;
      const listened = await listen(server, address, backlog);
      if (listened.isErr) return listened.error;
    }
    return null;
  }

  /** Runs sample calls through the call path until real calls arrive. */
  async #warmUp(): Promise<void> {
    const {sample, protocol} = this.#options;
    if (!sample) return;
    const {entry, serving} = this.#parts;
    const warmUp = new WarmUp({
      protocol,
      sample,
      isIdle: () => entry.inFlight + serving.inFlight === 0,
      signal: this.#shutdown.signal,
    });
    try {
      await warmUp.run();
    } catch (err) {
      log('Warm-up failed.', {err: String(err)});
    }
  }

  #startAcceptMonitor(): void {
    const monitor = new AcceptDelayMonitor(this.#callers.server);
    monitor.start(this.#shutdown.signal);
    this.#parts.acceptWaitMs = () => monitor.waitMs;
  }

  #applyLimits({idleTimeoutMs, headerTimeoutMs}: CallerLimits): void {
    this.#callers.server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
    this.#callers.server.headersTimeout = headerTimeoutMs;
  }

  async #close(): Promise<void> {
    this.#shutdown.abort();
    this.resetUnfinished();
    for (const server of [this.#callers.server, ...this.#otherServers]) {
      server.close();
      server.closeAllConnections();
    }
    await this.#bus.close();
    await this.#options.store.close();
  }
}

import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {
  Invariants,
  logger,
  newId,
  processRandom,
  systemClock,
} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {StoreRevisions} from '@verbenabeam/store';
import {TcpPeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import {AdminServer} from './admin/admin-server.js';
import {createParts} from './node-parts.js';
import type {NodeParts} from './node-parts.js';
import {listen} from './listen.js';
import type {NodeSettings} from './settings/node-settings.js';
import {openStore} from './store/open-store.js';
import {readTls} from './tls-material.js';

const log = logger('node');
/** Delay after the leave message, so that it is sent before the bus closes. */
const leaveDelayMs = 200;

/**
 * The keep-alive timeout exceeds the usual 60 s of clients and proxies, so that
 * the caller closes an idle connection first and no request is sent on a
 * connection that the node is closing. The request timeout is off, because the
 * timeout of the route already limits each call, uploads included.
 */
const callerServerOptions = {keepAliveTimeout: 75_000, requestTimeout: 0};

/** Node id and listener addresses (`ip:port`) of a node. @public */
export interface NodeAddresses {
  readonly nodeId: string;
  readonly callers: string;
  readonly wire: string;
  readonly admin: string;
}

/** Components and settings of a started node. */
interface StartedNode {
  readonly settings: NodeSettings;
  readonly addresses: NodeAddresses;
  readonly parts: NodeParts;
  readonly callers: Server;
  readonly admin: AdminServer;
  readonly bus: TcpPeerBus;
  readonly closeStore: () => Promise<void>;
  readonly abortController: AbortController;
}

/**
 * A mesh node with its listeners for callers, peers and admin requests.
 *
 * @public
 */
export class MeshNode {
  readonly #started: StartedNode;
  #stopped: Promise<void> | null = null;

  private constructor(started: StartedNode) {
    this.#started = started;
  }

  /**
   * Starts a node. Errors: 1003 (unreadable certificates) and
   * `wire.listenFailed`.
   *
   * @param invariants - Receives broken invariants; tests pass one that
   * collects them.
   */
  static async start(
    settings: NodeSettings,
    invariants = new Invariants(),
  ): Promise<Result<MeshNode, MeshError>> {
    const tls = readTls(settings);
    if (tls.isErr) return Result.err(tls.error);
    const nodeId = settings.node.id ?? newId();
    const abortController = new AbortController();
    const bus = new TcpPeerBus({
      nodeId,
      nodeKey: Buffer.from(settings.nodeKey),
      ...(tls.value ? {tls: tls.value} : {}),
    });
    const wire = await bus.start(settings.listen.wire);
    if (wire.isErr) return Result.err(wire.error);
    const revisions = new StoreRevisions();
    const store = openStore(settings, revisions);
    const parts = createParts({
      settings,
      nodeId,
      wireAddress: wire.value,
      bus,
      store,
      revisions,
      clock: systemClock,
      random: processRandom(),
      invariants,
      signal: abortController.signal,
    });
    const callers = createServer(callerServerOptions, parts.entry.handle);
    callers.on('connection', parts.entry.onConnection);
    const admin = new AdminServer({
      routes: parts.adminRoutes,
      operatorToken: settings.operatorToken,
      ...(tls.value ? {tls: tls.value} : {}),
    });
    const callersAddress = await listen(callers, settings.listen.callers);
    const adminAddress = await listen(admin.server, settings.listen.admin);
    if (callersAddress.isErr || adminAddress.isErr) {
      abortController.abort();
      callers.close();
      admin.server.close();
      await bus.close();
      await store.close();
    }
    if (callersAddress.isErr) return Result.err(callersAddress.error);
    if (adminAddress.isErr) return Result.err(adminAddress.error);
    const addresses: NodeAddresses = {
      nodeId,
      callers: callersAddress.value,
      wire: wire.value,
      admin: adminAddress.value,
    };
    await parts.start();
    log('Node started.', {...addresses});
    const closeStore = () => store.close();
    const started = {
      settings,
      addresses,
      parts,
      callers,
      admin,
      bus,
      closeStore,
      abortController,
    };
    return Result.ok(new MeshNode(started));
  }

  addresses(): NodeAddresses {
    return this.#started.addresses;
  }

  /** Components of the node, for tests and benchmarks. @internal */
  get parts(): NodeParts {
    return this.#started.parts;
  }

  /**
   * Drains the calls in flight, announces the leave and closes the listeners.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  /**
   * Stops without draining and interrupts calls in flight, like a crash.
   *
   * @internal
   */
  abort(): Promise<void> {
    this.#stopped ??= this.#abort();
    return this.#stopped;
  }

  async #abort(): Promise<void> {
    const {callers, admin, bus, closeStore, abortController} = this.#started;
    abortController.abort();
    for (const server of [callers, admin.server]) {
      server.close();
      server.closeAllConnections();
    }
    await bus.close();
    await closeStore();
  }

  async #stop(): Promise<void> {
    const {settings, parts, callers, admin, bus, closeStore, abortController} =
      this.#started;
    log('Node stops.', {nodeId: this.addresses().nodeId});
    await parts.drain(settings.limits.stop_wait);
    parts.entry.cutCalls();
    await parts.leave();
    await sleep(leaveDelayMs);
    abortController.abort();
    callers.close();
    callers.closeIdleConnections();
    admin.server.close();
    admin.server.closeIdleConnections();
    await bus.close();
    await closeStore();
    // After the drain, calls on open connections are only refused. The node would
    // keep sending responses on these connections if they stayed open.
    callers.closeAllConnections();
    admin.server.closeAllConnections();
    log('Node stopped.', {nodeId: this.addresses().nodeId});
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

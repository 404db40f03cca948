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
/** Time in which a leave message reaches the peers, in milliseconds. */
const leaveMs = 200;

/**
 * Idle connections of callers stay open longer than the usual 60 s of clients
 * and proxies, so that no request meets a connection that is being closed. The
 * route's timeout bounds a call, so uploads have no limit of their own.
 */
const callerServerOptions = {keepAliveTimeout: 75_000, requestTimeout: 0};

/** Addresses of the listeners of a node, `ip:port`. @public */
export interface NodeAddresses {
  readonly nodeId: string;
  readonly callers: string;
  readonly wire: string;
  readonly admin: string;
}

/** What belongs to a started node. */
interface Started {
  readonly settings: NodeSettings;
  readonly addresses: NodeAddresses;
  readonly parts: NodeParts;
  readonly callers: Server;
  readonly admin: AdminServer;
  readonly bus: TcpPeerBus;
  readonly closeStore: () => Promise<void>;
  readonly end: AbortController;
}

/** One node of the mesh, with its listeners. @public */
export class MeshNode {
  readonly #started: Started;
  #stopped: Promise<void> | null = null;

  private constructor(started: Started) {
    this.#started = started;
  }

  /**
   * Starts a node. Errors: 1003 (certificates) and `wire.listenFailed`.
   *
   * @param invariants - Tests pass one that collects what is broken.
   */
  static async start(
    settings: NodeSettings,
    invariants = new Invariants(),
  ): Promise<Result<MeshNode, MeshError>> {
    const tls = readTls(settings);
    if (tls.isErr) return Result.err(tls.error);
    const nodeId = settings.node.id ?? newId();
    const end = new AbortController();
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
      signal: end.signal,
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
      end.abort();
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
      end,
    };
    return Result.ok(new MeshNode(started));
  }

  addresses(): NodeAddresses {
    return this.#started.addresses;
  }

  /** Parts of the node, for tests and benches. @internal */
  get parts(): NodeParts {
    return this.#started.parts;
  }

  /** Finishes the calls in flight, tells the peers and closes the listeners. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  /** Ends at once and cuts what is in flight, as a crash does. @internal */
  abort(): Promise<void> {
    this.#stopped ??= this.#abort();
    return this.#stopped;
  }

  async #abort(): Promise<void> {
    const {callers, admin, bus, closeStore, end} = this.#started;
    end.abort();
    for (const server of [callers, admin.server]) {
      server.close();
      server.closeAllConnections();
    }
    await bus.close();
    await closeStore();
  }

  async #stop(): Promise<void> {
    const {settings, parts, callers, admin, bus, closeStore, end} =
      this.#started;
    log('Node stops.', {nodeId: this.addresses().nodeId});
    await parts.drain(settings.limits.stop_wait);
    await parts.leave();
    await sleep(leaveMs);
    end.abort();
    callers.close();
    callers.closeIdleConnections();
    admin.server.close();
    admin.server.closeIdleConnections();
    await bus.close();
    await closeStore();
    // Only refusals can be left; an open connection would be served for ever.
    callers.closeAllConnections();
    admin.server.closeAllConnections();
    log('Node stopped.', {nodeId: this.addresses().nodeId});
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

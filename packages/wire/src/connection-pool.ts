import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {BusSettings} from './bus-options.js';
import type {Connection} from './connection.js';
import {dial} from './dial.js';
import type {ByteCounter, FrameSocket} from './frame-socket.js';
import type {PeerIdentity} from './handshake.js';
import type {PeerAddress, TrafficClass} from './peer-bus.js';

/** What the pool needs from its bus. @internal */
export interface PoolOptions {
  readonly settings: BusSettings;
  readonly counters: Readonly<Record<TrafficClass, ByteCounter>>;
  readonly connect: (
    socket: FrameSocket,
    peer: PeerIdentity,
    onClose: (connection: Connection) => void,
  ) => Connection;
}

type Found = Result<Connection, MeshError>;

/** Outgoing connections, one for each peer and traffic class. @internal */
export class ConnectionPool {
  readonly #options: PoolOptions;
  readonly #open = {
    control: new Map<PeerAddress, Connection>(),
    call: new Map<PeerAddress, Connection>(),
  };
  readonly #dialling = new Map<string, Promise<Found>>();
  readonly #all = new Set<Connection>();
  #closed = false;

  constructor(options: PoolOptions) {
    this.#options = options;
  }

  /** Returns the connection if it is open. */
  open(peer: PeerAddress, trafficClass: TrafficClass): Connection | null {
    const connection = this.#open[trafficClass].get(peer);
    return connection?.usable ? connection : null;
  }

  /** Returns the connection, after opening it if needed. */
  async get(peer: PeerAddress, trafficClass: TrafficClass): Promise<Found> {
    const open = this.open(peer, trafficClass);
    if (open) return Result.ok(open);
    if (this.#closed) return closedEarly();
    const key = `${trafficClass} ${peer}`;
    const dialling = this.#dialling.get(key);
    if (dialling) return dialling;
    const dialled = this.#dial(peer, trafficClass);
    this.#dialling.set(key, dialled);
    const found = await dialled;
    this.#dialling.delete(key);
    return found;
  }

  /** Connections that were opened here. */
  get connections(): readonly Connection[] {
    return [...this.#all];
  }

  /** Closes connections that are idle or silent. */
  sweep(idleMs: number): void {
    for (const connection of [...this.#all]) this.sweepOne(connection, idleMs);
  }

  /** Closes one connection if it is idle or silent; pings it before. */
  sweepOne(connection: Connection, idleMs: number): void {
    const now = performance.now();
    const {pingAfterMs, silenceLimitMs} = this.#options.settings;
    if (!connection.busy) {
      const isIdle = now - connection.lastUseAt >= idleMs;
      if (isIdle || !connection.usable) {
        connection.close(lost('The connection is idle'));
        return;
      }
      // Notices have no answer, so a ping must show that they arrive.
      if (!connection.unheard) {
        connection.excusedAt = now;
        return;
      }
    }
    const since = Math.max(connection.lastReadAt, connection.excusedAt);
    if (now - since > silenceLimitMs) {
      connection.close(lost(`Nothing was received for ${silenceLimitMs} ms`));
    } else if (now - since > pingAfterMs) {
      connection.ping();
    }
  }

  close(err: MeshError): void {
    this.#closed = true;
    for (const connection of [...this.#all]) connection.close(err);
  }

  async #dial(peer: PeerAddress, trafficClass: TrafficClass): Promise<Found> {
    const {settings, counters, connect} = this.#options;
    const counter = counters[trafficClass];
    const dialled = await dial(peer, trafficClass, settings, counter);
    if (dialled.isErr) return Result.err(dialled.error);
    const {socket, peer: identity} = dialled.value;
    if (this.#closed) socket.close(lost('The bus is closed'));
    if (socket.closed) return closedEarly();
    const connections = this.#open[trafficClass];
    const connection = connect(socket, identity, closed => {
      this.#all.delete(closed);
      if (connections.get(peer) === closed) connections.delete(peer);
    });
    this.#all.add(connection);
    connections.set(peer, connection);
    return Result.ok(connection);
  }
}

function lost(message: string): MeshError {
  return new MeshError(WIRE_CODES.connectionLost, message);
}

function closedEarly(): Found {
  const message = 'The connection was closed before its first use';
  return Result.err(new MeshError(WIRE_CODES.unreachable, message));
}

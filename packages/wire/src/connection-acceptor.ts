import type {Socket} from 'node:net';
import {logger} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import type {BusSettings} from './bus-options.js';
import type {Connection} from './connection.js';
import {FrameSocket} from './frame-socket.js';
import type {ByteCounter} from './frame-socket.js';
import {handshakeAsServer} from './handshake.js';
import type {ChannelBinding, PeerIdentity} from './handshake.js';
import type {TrafficClass} from './peer-bus.js';

/** What the acceptor needs from its bus. @internal */
export interface AcceptorOptions {
  readonly settings: BusSettings;
  readonly counters: Readonly<Record<TrafficClass, ByteCounter>>;
  readonly connect: (
    socket: FrameSocket,
    peer: PeerIdentity,
    onClose: (connection: Connection) => void,
  ) => Connection;
}

const log = logger('wire');

/** Incoming connections, from the first byte of the handshake. @internal */
export class ConnectionAcceptor {
  readonly #options: AcceptorOptions;
  readonly #accepted = new Set<Connection>();
  readonly #handshaking = new Set<Socket>();
  #closed = false;

  constructor(options: AcceptorOptions) {
    this.#options = options;
  }

  /** Connections whose handshake has succeeded. */
  get connections(): readonly Connection[] {
    return [...this.#accepted];
  }

  /** Runs the handshake on a socket that a peer opened. */
  accept(raw: Socket, binding: ChannelBinding): void {
    if (this.#closed) {
      raw.destroy();
      return;
    }
    const {settings, counters, connect} = this.#options;
    this.#handshaking.add(raw);
    const timer = setTimeout(() => raw.destroy(), settings.connectTimeoutMs);
    // The traffic class is known only after the hello; until then the few
    // handshake bytes count as control.
    const socket = new FrameSocket(raw, counters.control);
    handshakeAsServer(socket, settings, binding, result => {
      clearTimeout(timer);
      this.#handshaking.delete(raw);
      if (result.isErr) {
        log('Handshake failed', {code: result.error.code.code});
        return;
      }
      const peer = result.value;
      socket.counter = counters[peer.trafficClass];
      const connection = connect(socket, peer, closed => {
        this.#accepted.delete(closed);
      });
      this.#accepted.add(connection);
    });
  }

  /** Refuses what is new and tells the peers to start nothing new. */
  goAway(): void {
    this.#closed = true;
    for (const connection of this.#accepted) connection.goAway();
  }

  close(err: MeshError): void {
    this.#closed = true;
    for (const socket of this.#handshaking) socket.destroy();
    for (const connection of this.connections) connection.close(err);
  }
}

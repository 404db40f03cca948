import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {isPeerAddress} from './bus-options.js';
import type {BusSettings} from './bus-options.js';
import {FrameSocket} from './frame-socket.js';
import type {ByteCounter} from './frame-socket.js';
import {handshakeAsClient} from './handshake.js';
import type {PeerIdentity} from './handshake.js';
import type {PeerAddress, TrafficClass} from './peer-bus.js';
import {dialSocket} from './transport.js';

/** An authenticated outgoing socket. @internal */
export interface Dialled {
  readonly socket: FrameSocket;
  readonly peer: PeerIdentity;
}

/**
 * Connects and runs the handshake. Every failure means that no message was
 * sent: `wire.unreachable`, or `wire.handshakeRefused` for a wrong key.
 *
 * @internal
 */
export function dial(
  peer: PeerAddress,
  trafficClass: TrafficClass,
  settings: BusSettings,
  counter: ByteCounter,
): Promise<Result<Dialled, MeshError>> {
  if (!isPeerAddress(peer)) {
    const text = 'The address is not an IP address with a port';
    return Promise.resolve(Result.err(unreachable(peer, text)));
  }
  return new Promise(resolve => {
    const fail = (message: string) => {
      clearTimeout(timer);
      raw.destroy();
      resolve(Result.err(unreachable(peer, message)));
    };
    const raw = dialSocket(peer, settings.tls, (connected, binding) => {
      const socket = new FrameSocket(connected, counter);
      handshakeAsClient(socket, settings, trafficClass, binding, result => {
        clearTimeout(timer);
        resolve(
          result
            .map(identity => ({socket, peer: identity}))
            .mapErr(err => asUnreachable(peer, err)),
        );
      });
    });
    const timer = setTimeout(() => {
      fail(`No connection within ${settings.connectTimeoutMs} ms`);
    }, settings.connectTimeoutMs);
    raw.on('error', err => {
      fail(err.message);
    });
  });
}

function asUnreachable(peer: PeerAddress, err: MeshError): MeshError {
  if (err.code === WIRE_CODES.handshakeRefused) return err;
  return unreachable(peer, err.message);
}

function unreachable(peer: PeerAddress, message: string): MeshError {
  return new MeshError(WIRE_CODES.unreachable, message, {peer});
}

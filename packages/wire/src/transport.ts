import net from 'node:net';
import tls from 'node:tls';
import {parseAddress} from './bus-options.js';
import type {WireTls} from './bus-options.js';
import type {ChannelBinding} from './handshake.js';
import type {PeerAddress} from './peer-bus.js';

const bindingBytes = 32;
const bindingLabel = 'EXPORTER-verbenabeam-wire';
const noBinding: ChannelBinding = Buffer.alloc(0);

/** Called with each socket that is ready for the handshake. @internal */
export type SocketHandler = (
  socket: net.Socket,
  binding: ChannelBinding,
) => void;

/** Dials a peer; the socket emits `error` if that fails. @internal */
export function dialSocket(
  peer: PeerAddress,
  certs: WireTls | null,
  onReady: SocketHandler,
): net.Socket {
  const target = parseAddress(peer);
  if (!certs) {
    const socket = net.connect(target, () => {
      onReady(socket, noBinding);
    });
    return socket;
  }
  // Nodes are addressed by IP, so the certificate's names are not compared:
  // its authority and the node key decide.
  const options = {...target, ...certs, checkServerIdentity: () => undefined};
  const socket = tls.connect(options, () => {
    onReady(socket, channelBinding(socket));
  });
  return socket;
}

/** Creates a server whose sockets are ready for the handshake. @internal */
export function createServer(
  certs: WireTls | null,
  onReady: SocketHandler,
): net.Server {
  if (!certs) {
    return net.createServer(socket => {
      onReady(socket, noBinding);
    });
  }
  const options = {...certs, requestCert: true, rejectUnauthorized: true};
  return tls.createServer(options, socket => {
    onReady(socket, channelBinding(socket));
  });
}

/** Ties the handshake to this TLS session, so it cannot be relayed. */
function channelBinding(socket: tls.TLSSocket): ChannelBinding {
  return socket.exportKeyingMaterial(
    bindingBytes,
    bindingLabel,
    Buffer.alloc(0),
  );
}

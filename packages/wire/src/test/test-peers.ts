import {once} from 'node:events';
import net from 'node:net';
import {FRAME_TYPES} from '../frame.js';
import type {Frame} from '../frame.js';
import {FrameSocket} from '../frame-socket.js';
import {handshakeAsClient} from '../handshake.js';
import {parseAddress} from '../bus-options.js';

/** A test client that writes raw bytes on an authenticated socket. @internal */
export class RawPeer {
  readonly socket: net.Socket;
  /** Settles when the connection has closed, by an end or a reset. */
  readonly closed: Promise<unknown>;

  constructor(address: string) {
    this.socket = net.connect(parseAddress(address));
    this.closed = new Promise(resolve => this.socket.on('close', resolve));
  }

  /** Authenticates with the key. */
  async authenticate(nodeKey: Uint8Array): Promise<void> {
    await once(this.socket, 'connect');
    const framed = new FrameSocket(this.socket, {sent: 0, received: 0});
    const own = {nodeId: 'raw', nodeKey};
    await new Promise(resolve => {
      handshakeAsClient(framed, own, 'control', Buffer.alloc(0), resolve);
    });
    // The proof leaves in the next turn of the event loop.
    await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
  }

  /** Sends a hello, then the proof of the server as its own. */
  async replayProof(): Promise<void> {
    await once(this.socket, 'connect');
    const framed = new FrameSocket(this.socket, {sent: 0, received: 0});
    framed.sink = {
      onFrame: (frame: Frame) => {
        framed.send([FRAME_TYPES.proof, frame[3]]);
      },
      onChunk: () => undefined,
      onClose: () => undefined,
    };
    framed.send([FRAME_TYPES.hello, Buffer.alloc(32), 'raw', 'control']);
    await this.closed;
  }
}

import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {FRAME_TYPES} from './frame.js';
import type {Frame} from './frame.js';
import type {FrameSocket} from './frame-socket.js';
import {TRAFFIC_CLASSES} from './peer-bus.js';
import type {TrafficClass} from './peer-bus.js';

/** What a node proves itself with. @internal */
export interface Identity {
  readonly nodeId: string;
  readonly nodeKey: Uint8Array;
}

/** The authenticated other side. @internal */
export interface PeerIdentity {
  readonly nodeId: string;
  readonly trafficClass: TrafficClass;
}

/** Called once, within the read that completes the handshake. @internal */
export type HandshakeDone = (result: Result<PeerIdentity, MeshError>) => void;

/** Material that binds the proof to a TLS session; empty without TLS. @internal */
export type ChannelBinding = Buffer;

interface Transcript {
  readonly trafficClass: TrafficClass;
  readonly clientNonce: Uint8Array;
  readonly serverNonce: Uint8Array;
  readonly clientId: string;
  readonly serverId: string;
  readonly binding: ChannelBinding;
}

const nonceBytes = 32;
const protocolName = 'verbenabeam-wire-1';

/**
 * Runs the side that opened the connection: hello, challenge with the server's
 * proof, own proof. Frames may follow the proof at once.
 *
 * @internal
 */
export function handshakeAsClient(
  socket: FrameSocket,
  own: Identity,
  trafficClass: TrafficClass,
  binding: ChannelBinding,
  done: HandshakeDone,
): void {
  const clientNonce = randomBytes(nonceBytes);
  expectFrame(socket, FRAME_TYPES.challenge, done, fields => {
    const [serverNonce, serverId, mac] = fields;
    if (!isNonce(serverNonce) || typeof serverId !== 'string') return null;
    const transcript: Transcript = {
      trafficClass,
      clientNonce,
      serverNonce,
      clientId: own.nodeId,
      serverId,
      binding,
    };
    if (!verify(own.nodeKey, 'server', transcript, mac)) return null;
    socket.send([FRAME_TYPES.proof, prove(own.nodeKey, 'client', transcript)]);
    return {nodeId: serverId, trafficClass};
  });
  socket.send([FRAME_TYPES.hello, clientNonce, own.nodeId, trafficClass]);
}

/** Runs the side that accepted the connection. @internal */
export function handshakeAsServer(
  socket: FrameSocket,
  own: Identity,
  binding: ChannelBinding,
  done: HandshakeDone,
): void {
  expectFrame(socket, FRAME_TYPES.hello, done, fields => {
    const [clientNonce, clientId, trafficClass] = fields;
    if (!isNonce(clientNonce) || typeof clientId !== 'string') return null;
    if (!isTrafficClass(trafficClass)) return null;
    const serverNonce = randomBytes(nonceBytes);
    const transcript: Transcript = {
      trafficClass,
      clientNonce,
      serverNonce,
      clientId,
      serverId: own.nodeId,
      binding,
    };
    socket.send([
      FRAME_TYPES.challenge,
      serverNonce,
      own.nodeId,
      prove(own.nodeKey, 'server', transcript),
    ]);
    expectFrame(socket, FRAME_TYPES.proof, done, ([mac]) =>
      verify(own.nodeKey, 'client', transcript, mac)
        ? {nodeId: clientId, trafficClass}
        : null,
    );
    return 'more';
  });
}

/** Takes one frame; anything but the expected one refuses the handshake. */
function expectFrame(
  socket: FrameSocket,
  type: number,
  done: HandshakeDone,
  take: (fields: readonly unknown[]) => PeerIdentity | 'more' | null,
): void {
  const refuse = () => {
    const err = new MeshError(
      WIRE_CODES.handshakeRefused,
      'The peer does not prove possession of the node key',
    );
    socket.sink = null;
    socket.close(err);
    done(Result.err(err));
  };
  socket.sink = {
    onFrame: (frame: Frame) => {
      const taken = frame[0] === type ? take(frame.slice(1)) : null;
      if (taken === null) refuse();
      else if (taken !== 'more') done(Result.ok(taken));
    },
    onChunk: refuse,
    onClose: err => {
      done(Result.err(err));
    },
  };
}

/** The role is part of the input, so a proof cannot be sent back. */
function prove(
  key: Uint8Array,
  role: 'client' | 'server',
  transcript: Transcript,
): Buffer {
  const input = JSON.stringify([
    protocolName,
    role,
    transcript.trafficClass,
    Buffer.from(transcript.clientNonce).toString('hex'),
    Buffer.from(transcript.serverNonce).toString('hex'),
    transcript.clientId,
    transcript.serverId,
    transcript.binding.toString('hex'),
  ]);
  return createHmac('sha256', key).update(input).digest();
}

function verify(
  key: Uint8Array,
  role: 'client' | 'server',
  transcript: Transcript,
  mac: unknown,
): boolean {
  const expected = prove(key, role, transcript);
  if (!(mac instanceof Uint8Array)) return false;
  return mac.length === expected.length && timingSafeEqual(mac, expected);
}

function isNonce(value: unknown): value is Uint8Array {
  return value instanceof Uint8Array && value.length === nonceBytes;
}

function isTrafficClass(value: unknown): value is TrafficClass {
  return Object.values<unknown>(TRAFFIC_CLASSES).includes(value);
}

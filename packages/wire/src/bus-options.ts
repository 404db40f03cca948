import {isIP} from 'node:net';
import type {PeerAddress} from './peer-bus.js';

/** Certificates for TLS in both directions, in PEM. @public */
export interface WireTls {
  readonly cert: string;
  readonly key: string;
  /** Authority that must have signed the certificate of every peer. */
  readonly ca: string;
}

/** Options of a `TcpPeerBus`. @public */
export interface TcpPeerBusOptions {
  readonly nodeId: string;
  /** Secret that all nodes share; it is never sent or logged. */
  readonly nodeKey: Uint8Array;
  /** Default: TCP without TLS. */
  readonly tls?: WireTls;
  /** Time limit of connect and handshake, in milliseconds. Default 3000. */
  readonly connectTimeoutMs?: number;
  /** Unused connections close after this time. Default 60,000. */
  readonly idleMs?: number;
  /** Silence of a connection in use before a ping. Default 4000. */
  readonly pingAfterMs?: number;
  /** Silence of a connection in use before it is closed. Default 8000. */
  readonly silenceLimitMs?: number;
  /** Flow-control window of a stream, in each direction. Default 262,144. */
  readonly streamCreditBytes?: number;
}

/** Options with defaults applied. @internal */
export type BusSettings = Required<Omit<TcpPeerBusOptions, 'tls'>> & {
  readonly tls: WireTls | null;
};

const defaults = {
  connectTimeoutMs: 3000,
  idleMs: 60_000,
  pingAfterMs: 4000,
  silenceLimitMs: 8000,
  streamCreditBytes: 262_144,
};

/** Applies the defaults. @internal */
export function busSettings(options: TcpPeerBusOptions): BusSettings {
  return {...defaults, ...options, tls: options.tls ?? null};
}

const maxPort = 65_535;

/** Whether a text is an address to connect to: `ip:port`. @public */
export function isPeerAddress(text: string): boolean {
  const {host, port} = parseAddress(text);
  const isPort = Number.isInteger(port) && port > 0 && port <= maxPort;
  return isPort && isIP(host) !== 0;
}

/** Splits `ip:port`; an IPv6 address may be in brackets. @internal */
export function parseAddress(address: PeerAddress): {
  host: string;
  port: number;
} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

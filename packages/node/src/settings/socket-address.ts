import {isIP} from 'node:net';
import * as z from 'zod';

const maxPort = 65_535;

/** An IP address and a port. */
export interface SocketAddress {
  readonly ip: string;
  /** 0 lets the operating system assign a port. */
  readonly port: number;
}

/** Parses `ip:port`, with IPv6 addresses in brackets. Null if malformed. */
export function parseSocketAddress(text: string): SocketAddress | null {
  const at = text.lastIndexOf(':');
  const ip = text.slice(0, at).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(at + 1));
  const valid = isIP(ip) !== 0 && /^\d+$/.test(text.slice(at + 1));
  return valid && port <= maxPort ? {ip, port} : null;
}

/** Formats an address as `ip:port`, with IPv6 addresses in brackets. */
export function formatSocketAddress({ip, port}: SocketAddress): string {
  return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
}

/** Schema of an `ip:port` string. */
export const socketAddressSchema = z
  .string()
  .refine(
    text => parseSocketAddress(text) !== null,
    'expected "ip:port" with an IP number',
  );

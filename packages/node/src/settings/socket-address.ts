import {isIP} from 'node:net';
import * as z from 'zod';

const maxPort = 65_535;

/** An IP number and a port. */
export interface SocketAddress {
  readonly ip: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** Splits `ip:port`; IPv6 numbers stand in brackets. Null if malformed. */
export function parseSocketAddress(text: string): SocketAddress | null {
  const at = text.lastIndexOf(':');
  const ip = text.slice(0, at).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(at + 1));
  const valid = isIP(ip) !== 0 && /^\d+$/.test(text.slice(at + 1));
  return valid && port <= maxPort ? {ip, port} : null;
}

/** Renders an address as `ip:port`. */
export function formatSocketAddress({ip, port}: SocketAddress): string {
  return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
}

/** `ip:port` as text. */
export const socketAddressSchema = z
  .string()
  .refine(
    text => parseSocketAddress(text) !== null,
    'expected "ip:port" with an IP number',
  );

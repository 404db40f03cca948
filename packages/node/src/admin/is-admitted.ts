import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {AdmissionRule} from './admin-route.js';

const bearerPrefix = 'Bearer ';
const loopbackPattern = /^(::ffff:)?127\.|^::1$/;

type Check = (req: IncomingMessage, token: string) => boolean;

const checks: Readonly<Record<AdmissionRule, Check>> = {
  operator: (req, token) => hasToken(req, token),
  loopback: req => loopbackPattern.test(req.socket.remoteAddress ?? ''),
  open: () => true,
};

/** Tells whether a request satisfies an access rule. */
export function isAdmitted(
  rule: AdmissionRule,
  req: IncomingMessage,
  token: string,
): boolean {
  return checks[rule](req, token);
}

/**
 * Compares hashes in constant time, so that timing reveals nothing about the
 * token.
 */
function hasToken(req: IncomingMessage, token: string): boolean {
  const header = req.headers.authorization ?? '';
  if (!header.startsWith(bearerPrefix)) return false;
  return timingSafeEqual(
    digest(header.slice(bearerPrefix.length)),
    digest(token),
  );
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

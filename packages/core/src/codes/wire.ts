import {defineCodes} from './define-codes.js';

/** Codes 14xx: connections between nodes. @public */
export const WIRE_CODES = defineCodes('wire', {
  unreachable: {
    code: 1401,
    exit: 14,
    http: 502,
    notRun: true,
    text: 'The peer cannot be reached; nothing was sent.',
  },
  timeout: {
    code: 1402,
    exit: 14,
    http: 504,
    text: 'The peer did not respond in time.',
  },
  connectionLost: {
    code: 1403,
    exit: 14,
    http: 502,
    text: 'The connection ended before the response.',
  },
  frameTooLarge: {
    code: 1404,
    exit: 14,
    http: 413,
    text: 'A frame exceeds the size limit.',
  },
  undecodable: {
    code: 1405,
    exit: 14,
    http: 400,
    text: 'A frame cannot be decoded.',
  },
  handshakeRefused: {
    code: 1406,
    exit: 14,
    http: 401,
    notRun: true,
    text: 'The peer does not hold the node key.',
  },
  unknownKind: {
    code: 1407,
    exit: 14,
    http: 400,
    notRun: true,
    text: 'The peer has no handler for this kind of message.',
  },
});

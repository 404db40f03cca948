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
  cancelled: {
    code: 1408,
    exit: 14,
    http: 499,
    text: 'The sender cancelled the request or stream.',
  },
  unexpectedFrame: {
    code: 1409,
    exit: 14,
    http: 400,
    text: 'A frame breaks the protocol of the connection.',
  },
  closing: {
    code: 1410,
    exit: 14,
    http: 503,
    notRun: true,
    text: 'The peer closes its connections and takes nothing new.',
  },
  handlerFailed: {
    code: 1411,
    exit: 14,
    text: 'The handler of the peer failed without a known code.',
  },
  listenFailed: {
    code: 1412,
    exit: 14,
    text: 'The listen address of the wire cannot be used.',
  },
});

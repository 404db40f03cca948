import {defineCodes} from './define-codes.js';

/** Codes 19xx: operators and access. @public */
export const ACCESS_CODES = defineCodes('access', {
  unauthorized: {
    code: 1901,
    exit: 19,
    http: 401,
    text: 'The operator token is missing or wrong.',
  },
  notFound: {
    code: 1902,
    exit: 19,
    http: 404,
    text: 'The admin API has no such resource.',
  },
  badRequest: {
    code: 1903,
    exit: 19,
    http: 400,
    text: 'The body or query of an operator request is malformed.',
  },
  nodeUnreachable: {
    code: 1904,
    exit: 19,
    http: 502,
    text: 'The command line cannot reach the node.',
  },
  unknownCall: {
    code: 1905,
    exit: 19,
    http: 404,
    text: 'No reachable node holds a record of this call.',
  },
  bodyTooLarge: {
    code: 1906,
    exit: 19,
    http: 413,
    text: 'The body of an operator request exceeds the size limit.',
  },
});

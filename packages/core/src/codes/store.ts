import {defineCodes} from './define-codes.js';

/** Codes 13xx: the key-value service. @public */
export const STORE_CODES = defineCodes('store', {
  unavailable: {
    code: 1301,
    exit: 13,
    http: 503,
    notRun: true,
    text: 'The store cannot be reached; the operation was not applied.',
  },
  unknownOutcome: {
    code: 1302,
    exit: 13,
    http: 503,
    text: 'The response of the store was lost; the write may have been applied.',
  },
  conflict: {
    code: 1303,
    exit: 13,
    http: 409,
    text: 'A compare-and-swap found another revision.',
  },
  overBudget: {
    code: 1304,
    exit: 13,
    http: 503,
    notRun: true,
    text: 'The call budget of this role for the store is used up.',
  },
  rejected: {
    code: 1305,
    exit: 13,
    http: 500,
    notRun: true,
    text: 'The store rejected the operation as invalid; it was not applied.',
  },
});

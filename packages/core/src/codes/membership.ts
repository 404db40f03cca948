import {defineCodes} from './define-codes.js';

/** Codes 15xx: membership. @public */
export const MEMBERSHIP_CODES = defineCodes('membership', {
  invalidAnnouncement: {
    code: 1501,
    exit: 15,
    http: 400,
    text: 'An announcement of an upstream is malformed.',
  },
  busy: {
    code: 1502,
    exit: 15,
    http: 503,
    text: 'The seed serves its limit of full tables; try again later.',
  },
});

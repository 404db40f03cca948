import {defineCodes} from './define-codes.js';

/** Codes 12xx: versions and their distribution. @public */
export const VERSION_CODES = defineCodes('versions', {
  notNewer: {
    code: 1201,
    exit: 12,
    http: 409,
    text: 'The offered version is not newer than the active one.',
  },
  raceLost: {
    code: 1202,
    exit: 12,
    http: 409,
    text: 'Another operator changed the environment first.',
  },
  hashMismatch: {
    code: 1204,
    exit: 12,
    http: 409,
    text: 'The same version number was offered with another hash.',
  },
  storeOlder: {
    code: 1205,
    exit: 12,
    http: 409,
    text: 'The store shows an older version than the fleet has active.',
  },
});

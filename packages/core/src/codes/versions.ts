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
  cannotCompile: {
    code: 1203,
    exit: 12,
    http: 409,
    text: 'The node cannot compile the version and keeps the one it has.',
  },
  textMismatch: {
    code: 1206,
    exit: 12,
    http: 409,
    text: 'The text of a version does not have the announced hash.',
  },
  otherEnvironment: {
    code: 1207,
    exit: 12,
    http: 409,
    text: 'A message or version belongs to another environment.',
  },
  busy: {
    code: 1208,
    exit: 12,
    http: 503,
    text: 'The peer serves its limit of full texts; try again later.',
  },
  unknownVersion: {
    code: 1209,
    exit: 12,
    http: 404,
    text: 'The store holds no such version of the environment.',
  },
  notReady: {
    code: 1210,
    exit: 12,
    http: 503,
    notRun: true,
    text: 'The node has not yet learned which version the fleet has.',
  },
  malformedMessage: {
    code: 1211,
    exit: 12,
    http: 400,
    text: 'A configuration message between nodes is malformed.',
  },
  corruptRecord: {
    code: 1212,
    exit: 12,
    http: 500,
    text: 'A record of the store cannot be decoded.',
  },
});

import {defineCodes} from './define-codes.js';

/** Codes 18xx: version moves. @public */
export const MOVE_CODES = defineCodes('moves', {
  unknownMove: {
    code: 1801,
    exit: 18,
    http: 404,
    text: 'No move has this id.',
  },
  alreadyDecided: {
    code: 1802,
    exit: 18,
    http: 409,
    text: 'The move is done or taken back already.',
  },
});

import {defineCodes} from './define-codes.js';

/** Codes 17xx: at-most-once claims. @public */
export const CLAIM_CODES = defineCodes('claims', {
  keyRequired: {
    code: 1701,
    exit: 17,
    http: 400,
    notRun: true,
    text: 'The route requires an idempotency key.',
  },
  unavailable: {
    code: 1702,
    exit: 17,
    http: 503,
    notRun: true,
    text: 'The claim cannot be recorded now, so the request was not run.',
  },
  inProgress: {
    code: 1703,
    exit: 17,
    http: 409,
    text: 'A request with this idempotency key is still running.',
  },
  alreadyRun: {
    code: 1704,
    exit: 17,
    http: 409,
    text: 'A request with this key has run; its response was not kept.',
  },
  mayHaveRun: {
    code: 1705,
    exit: 17,
    http: 409,
    text: 'A request with this key may have run; it is not run again.',
  },
  limitReached: {
    code: 1706,
    exit: 17,
    http: 503,
    notRun: true,
    text: 'The claim partition holds or queues its largest number of claims.',
  },
  notHeld: {
    code: 1707,
    exit: 17,
    http: 409,
    text: 'The call does not hold the claim, so its end was not recorded.',
  },
  storeWentBack: {
    code: 1708,
    exit: 17,
    http: 503,
    notRun: true,
    text: 'The store was restored to an older state; claims wait for an operator.',
  },
});

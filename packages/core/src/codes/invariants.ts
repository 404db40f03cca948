import {defineCodes} from './define-codes.js';

/** Codes 90xx: broken invariants, one for each guarantee. @public */
export const INVARIANT_CODES = defineCodes('invariant', {
  versionWentBack: {
    code: 9001,
    text: 'P1: a proxy returned to an older configuration version.',
  },
  danglingRoute: {
    code: 9002,
    text: 'P2: a route points at a resource that the proxy lacks.',
  },
  partialVersion: {
    code: 9003,
    text: 'P3: a version was applied in part.',
  },
  trafficAfterStop: {
    code: 9004,
    text: 'P4: a stopped upstream version received traffic.',
  },
  crossedResponse: {
    code: 9005,
    text: 'P5: a response was truncated or reached another caller.',
  },
  falseNotRun: {
    code: 9006,
    text: 'P6: a refusal said not run, but the request ran.',
  },
  ranTwice: {
    code: 9007,
    text: 'P7: a non-idempotent request ran more than once.',
  },
  workAfterLeave: {
    code: 9008,
    text: 'P8: a leaving upstream received new work.',
  },
  cutOff: {
    code: 9009,
    text: 'P9: a planned stop interrupted a request in flight.',
  },
  revertedVersion: {
    code: 9010,
    text: 'P10: an accepted version reverted.',
  },
});

import type {Route, Service, Snapshot} from '@verbenabeam/document';
import {
  WARM_UP_KINDS,
  warmUpHost,
  warmUpService,
  warmUpVersion,
} from '../warm-up-document.js';
import type {WarmUpKind} from '../warm-up-document.js';
import type {WarmUpSample} from '../warm-up-sample.js';

const service: Service = {
  name: warmUpService,
  versions: [warmUpVersion],
  current: warmUpVersion,
};
/** Exceeds the expected duration of every warm-up call, in ms. */
const timeoutMs = 2_000;
const targetLatencyMs = 500;
const maxBodyBytes = 1_048_576;
const maxHeaderBytes = 16_384;
const idleTimeoutMs = 10_000;

function route(name: WarmUpKind): Route {
  return {
    name,
    service,
    host: warmUpHost,
    pathPrefix: `/${name}/`,
    methods: null,
    idempotent: name === WARM_UP_KINDS.read,
    timeoutMs,
    idempotencyKey: 'optional',
    maxAttempts: 2,
    priority: 0,
    targetLatencyMs,
  };
}

/**
 * Configuration with one service and a route for each kind of call.
 *
 * @internal
 */
const snapshot: Snapshot = {
  environment: 'warm-up',
  version: 1,
  hash: '',
  acceptedAt: 0,
  document: {
    text: '',
    hash: '',
    strictness: 'balanced',
    callerClasses: [],
    services: new Map([[service.name, service]]),
    routes: Object.values(WARM_UP_KINDS).map(route),
    moves: [],
    callerLimits: {
      maxHeaderBytes,
      maxBodyBytes,
      headerTimeoutMs: timeoutMs,
      idleTimeoutMs,
    },
  },
};

/** Calls without headers of their own. */
export const nativeSample: WarmUpSample = {
  request: () => [],
  response: () => [],
  snapshot,
};

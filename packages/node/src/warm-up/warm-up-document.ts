import type {Route, Service, Snapshot} from '@verbenabeam/document';

/** Version of the stub upstream. @internal */
export const warmUpVersion = 'v1';
/** Host header of the warm-up calls. @internal */
export const warmUpHost = 'warm-up.invalid';

const service: Service = {
  name: 'warm-up',
  versions: [warmUpVersion],
  current: warmUpVersion,
};
/** Exceeds the expected duration of every warm-up call, in ms. */
const timeoutMs = 2_000;
const targetLatencyMs = 500;
const maxBodyBytes = 1_048_576;
const maxHeaderBytes = 16_384;
const idleTimeoutMs = 10_000;

/** Kinds of calls that a warm-up makes; each has its own route. @internal */
export const WARM_UP_KINDS = {
  read: 'read',
  write: 'write',
  upload: 'upload',
} as const;

/** One of the values of {@link WARM_UP_KINDS}. @internal */
export type WarmUpKind = (typeof WARM_UP_KINDS)[keyof typeof WARM_UP_KINDS];

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
export const warmUpSnapshot: Snapshot = {
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

import {get} from 'node:http';
import {logger} from '@verbenabeam/core';
import type {UpstreamReport} from './upstream-report.js';

/** Far longer than an upstream with a free slot takes, in ms. */
const timeoutMs = 500;
const ok = 200;
const log = logger('upstream');

/** What a probe finds. @internal */
export const HEALTH = {
  serving: 'serving',
  notServing: 'notServing',
  /** The upstream did not answer, or where to ask is not known. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link HEALTH}. @internal */
export type Health = (typeof HEALTH)[keyof typeof HEALTH];

/** Dependencies of a {@link HealthProbe}. @internal */
export interface HealthProbeOptions {
  /** Header in which an upstream that serves names itself. */
  readonly idHeader: string;
  /** Health path of a service; undefined while it is not known. */
  readonly healthPath: (service: string) => string | undefined;
  readonly signal: AbortSignal;
}

/** Asks an upstream whether it serves. @internal */
export class HealthProbe {
  readonly #options: HealthProbeOptions;

  constructor(options: HealthProbeOptions) {
    this.#options = options;
  }

  /** Probes the upstream of a heartbeat on a connection of its own. */
  probe({id, service, address}: UpstreamReport): Promise<Health> {
    const {idHeader, healthPath, signal} = this.#options;
    const path = healthPath(service);
    if (path === undefined) return Promise.resolve(HEALTH.unknown);
    const limits = [signal, AbortSignal.timeout(timeoutMs)];
    return new Promise(resolve => {
      const options = {agent: false, signal: AbortSignal.any(limits)};
      const req = get(`http://${address}${path}`, options, res => {
        const isServing = res.statusCode === ok && res.headers[idHeader] === id;
        resolve(isServing ? HEALTH.serving : HEALTH.notServing);
        res.destroy();
      });
      req.on('error', err => {
        log('Health probe failed.', {id, address, err: err.message});
        resolve(HEALTH.unknown);
      });
    });
  }
}

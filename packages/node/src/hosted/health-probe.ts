import {logger} from '@verbenabeam/core';
import {createMeteredAgent} from '@verbenabeam/http';
import type {Dispatcher} from 'undici';
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
  async probe(report: UpstreamReport): Promise<Health> {
    const path = this.#options.healthPath(report.service);
    if (path === undefined) return HEALTH.unknown;
    const agent = createMeteredAgent({connectTimeoutMs: timeoutMs});
    try {
      return await this.#ask(agent, report, path);
    } catch (err) {
      const {id, address} = report;
      log('Health probe failed.', {id, address, err: (err as Error).message});
      return HEALTH.unknown;
    } finally {
      await agent.destroy();
    }
  }

  async #ask(
    agent: Dispatcher,
    {id, address}: UpstreamReport,
    path: string,
  ): Promise<Health> {
    const {idHeader, signal} = this.#options;
    const limits = [signal, AbortSignal.timeout(timeoutMs)];
    const {statusCode, headers, body} = await agent.request({
      origin: `http://${address}`,
      path,
      method: 'GET',
      reset: true,
      signal: AbortSignal.any(limits),
    });
    // Destroying the agent ends a body that has not ended.
    body.on('error', () => undefined);
    const isServing = statusCode === ok && headers[idHeader] === id;
    return isServing ? HEALTH.serving : HEALTH.notServing;
  }
}

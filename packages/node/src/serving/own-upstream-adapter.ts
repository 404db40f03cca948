import {logger} from '@verbenabeam/core';
import type {UpstreamMonitor} from '@verbenabeam/membership';
import type {OwnUpstream, OwnUpstreamPort} from '../calls/index.js';

const log = logger('serving');

/** Provides the announced upstream to the serving handler. @internal */
export class OwnUpstreamAdapter implements OwnUpstreamPort {
  readonly #monitor: UpstreamMonitor;

  constructor(monitor: UpstreamMonitor) {
    this.#monitor = monitor;
  }

  current(): OwnUpstream | null {
    const {record, address} = this.#monitor;
    if (!record || address === null) return null;
    const {service, version, state} = record;
    return {service, version, state, address};
  }

  markDown(reason: string): void {
    log('Upstream marked down.', {reason});
    this.#monitor.markDown();
  }
}

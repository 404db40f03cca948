import {logger} from '@verbenabeam/core';
import type {Clock, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {OwnUpstream, OwnUpstreamPort} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';
import type {UpstreamMessage, UpstreamReport} from './upstream-report.js';

/** Dependencies of a {@link HostedUpstream}. @internal */
export interface HostedUpstreamOptions {
  readonly membership: MembershipService;
  readonly clock: Clock;
  /** Whether the configuration names the service. */
  readonly isKnownService: (service: string) => boolean;
}

/** Clocks of instances differ by seconds, and may jump; an hour is tolerated. */
const maxClockSkewMs = 3_600_000;
/** Heartbeats in a row that may be lost: more than a day of them. */
const maxMissedHeartbeats = 100_000;
const log = logger('upstream');

/**
 * Tracks the upstream beside the node by its heartbeats. Late heartbeats are
 * ignored: those of an earlier start, and those that arrive after a newer one. An
 * upstream that has announced that it is leaving stays in that state until it restarts.
 *
 * @internal
 */
export class HostedUpstream implements OwnUpstreamPort {
  readonly #options: HostedUpstreamOptions;
  /** The last accepted heartbeat; null before the first. */
  #report: UpstreamReport | null = null;
  #isLeaving = false;

  constructor(options: HostedUpstreamOptions) {
    this.#options = options;
  }

  current(): OwnUpstream | null {
    const {record, address} = this.#options.membership.monitor;
    if (!record || address === null) return null;
    const {service, version, state} = record;
    return {service, version, state, address, id: this.#report?.id ?? null};
  }

  markDown(reason: string): void {
    log('Upstream is down.', {id: this.#report?.id, reason});
    this.#options.membership.monitor.markDown();
  }

  /** Handles a message of the upstream. Error: 1501. */
  take(message: UpstreamMessage): Result<true, MeshError> {
    if (message.kind === 'leave') {
      this.#leave(message.id);
      return Result.ok(true);
    }
    const {report} = message;
    if (!this.#options.isKnownService(report.service)) {
      const {id, service} = report;
      log('Heartbeat names an unknown service.', {id, service});
      return Result.ok(true);
    }
    if (this.#isImplausible(report)) {
      const {id, sequence, bornAt} = report;
      log('Implausible heartbeat ignored.', {id, sequence, bornAt});
      return Result.ok(true);
    }
    if (this.#isLate(report)) {
      const {id, sequence, bornAt} = report;
      log('Late heartbeat ignored.', {id, sequence, bornAt});
      return Result.ok(true);
    }
    const isSameStart = this.#isSameStart(report);
    this.#isLeaving = report.isDraining || (isSameStart && this.#isLeaving);
    if (!isSameStart) {
      const {id, service, version, bornAt, address} = report;
      log('Upstream started.', {id, service, version, bornAt, address});
    }
    this.#report = report;
    return this.#announce(report);
  }

  #leave(id: string): void {
    if (this.#report?.id !== id) return;
    this.#isLeaving = true;
    this.#announce(this.#report);
  }

  #announce(report: UpstreamReport): Result<true, MeshError> {
    const {service, version, address, slots, id, bornAt} = report;
    const state = this.#isLeaving ? 'leaving' : 'ready';
    const process = `${id} ${bornAt}`;
    return this.#options.membership
      .announce({service, version, address, slots, state, process})
      .map(() => true as const);
  }

  #isSameStart({id, bornAt}: UpstreamReport): boolean {
    return this.#report?.id === id && this.#report.bornAt === bornAt;
  }

  /** A far too high number would make all later heartbeats count as late. */
  #isImplausible(next: UpstreamReport): boolean {
    const {bornAt, sequence} = next;
    if (bornAt > this.#options.clock.wallTime() + maxClockSkewMs) return true;
    const known = this.#isSameStart(next) ? this.#report : null;
    return known !== null && sequence > known.sequence + maxMissedHeartbeats;
  }

  #isLate(next: UpstreamReport): boolean {
    const known = this.#report;
    if (!known) return false;
    if (next.bornAt !== known.bornAt) return next.bornAt < known.bornAt;
    return next.id === known.id && next.sequence <= known.sequence;
  }
}

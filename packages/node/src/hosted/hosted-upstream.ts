import {logger} from '@verbenabeam/core';
import type {Clock, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {OwnUpstream, OwnUpstreamPort} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';
import {HEALTH} from './health-probe.js';
import type {Health} from './health-probe.js';
import type {UpstreamMessage, UpstreamReport} from './upstream-report.js';

/** Dependencies of a {@link HostedUpstream}. @internal */
export interface HostedUpstreamOptions {
  readonly membership: MembershipService;
  readonly clock: Clock;
  /** Whether the configuration names the service. */
  readonly isKnownService: (service: string) => boolean;
  /** Asks an upstream whether it serves. */
  readonly probe: (report: UpstreamReport) => Promise<Health>;
}

/** An upstream that has left before this process knew it. */
interface LeftUpstream {
  readonly id: string;
  /** Time of its message, in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Clocks of instances differ by seconds, and may jump; an hour is tolerated. */
const maxClockSkewMs = 3_600_000;
/** Heartbeats in a row that may be lost: more than a day of them. */
const maxMissedHeartbeats = 100_000;
/**
 * Newer heartbeats after which an upstream counts as ready whatever a probe finds:
 * it may be too busy to answer probes, or answer them wrongly.
 */
const enoughHeartbeats: Readonly<Record<Health, number>> = {
  [HEALTH.serving]: 0,
  [HEALTH.unknown]: 1,
  [HEALTH.notServing]: 3,
};
/**
 * Age at which an upstream may have begun to leave before this process started, in
 * ms. Upstreams and nodes that start together are younger.
 */
const minLeavingAgeMs = 5_000;
const log = logger('upstream');

/**
 * Tracks the upstream beside the node by its heartbeats. Late heartbeats are
 * ignored: those of an earlier start, and those that arrive after a newer one. An
 * upstream that has announced that it is leaving stays in that state until it restarts.
 *
 * An upstream that is older than this process may have left before, and its first
 * heartbeat may be a late one. It gets calls once a probe confirms that it serves.
 *
 * @internal
 */
export class HostedUpstream implements OwnUpstreamPort {
  readonly #options: HostedUpstreamOptions;
  /** The last accepted heartbeat; null before the first. */
  #report: UpstreamReport | null = null;
  #isLeaving = false;
  /** Start of this process, in milliseconds since the Unix epoch. */
  readonly #startedAt: number;
  /** The newest heartbeat of an upstream that is not confirmed. */
  #unconfirmed: UpstreamReport | null = null;
  /** Heartbeats of that upstream after its first one. */
  #newerHeartbeats = 0;
  #left: LeftUpstream | null = null;

  constructor(options: HostedUpstreamOptions) {
    this.#options = options;
    this.#startedAt = options.clock.wallTime();
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
    if (this.#mustConfirm(report)) {
      void this.#confirm(report, this.#countHeartbeat(report));
      return Result.ok(true);
    }
    return this.#accept(report);
  }

  #accept(report: UpstreamReport): Result<true, MeshError> {
    const isSameStart = this.#isSameStart(report);
    this.#isLeaving =
      report.isDraining ||
      (isSameStart && this.#isLeaving) ||
      this.#hasLeft(report);
    if (!isSameStart) {
      const {id, service, version, bornAt, address} = report;
      log('Upstream started.', {id, service, version, bornAt, address});
    }
    this.#report = report;
    this.#unconfirmed = null;
    return this.#announce(report);
  }

  /** Whether the upstream may have left before this process started. */
  #mustConfirm(report: UpstreamReport): boolean {
    if (this.#report !== null || report.isDraining) return false;
    if (this.#hasLeft(report)) return false;
    return report.bornAt < this.#startedAt - minLeavingAgeMs;
  }

  /** Number of heartbeats that were newer than the first one of the upstream. */
  #countHeartbeat(report: UpstreamReport): number {
    const before = this.#unconfirmed;
    const isSame = before?.id === report.id && before.bornAt === report.bornAt;
    if (!isSame) this.#newerHeartbeats = 0;
    else if (report.sequence > before.sequence) this.#newerHeartbeats++;
    this.#unconfirmed = report;
    return this.#newerHeartbeats;
  }

  async #confirm(report: UpstreamReport, newer: number): Promise<void> {
    const health = await this.#options.probe(report);
    const {id, bornAt, sequence} = report;
    log('Upstream is older than this process.', {
      id,
      bornAt,
      sequence,
      newer,
      health,
    });
    if (newer < enoughHeartbeats[health]) return;
    const isCurrent = this.#report === null && !this.#hasLeft(report);
    if (isCurrent) this.#accept(report);
  }

  #hasLeft({id, bornAt}: UpstreamReport): boolean {
    return this.#left?.id === id && bornAt <= this.#left.at;
  }

  #leave(id: string): void {
    this.#left = {id, at: this.#options.clock.wallTime()};
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

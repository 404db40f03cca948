import type {Clock, RandomSource} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import {CALL_OUTCOMES, InstancePicker} from '@verbenabeam/routing';
import type {CallOutcome, Candidate, PickLimits} from '@verbenabeam/routing';
import type {
  AttemptOutcome,
  InstanceChooser,
  Outcome,
  Target,
} from '../calls/index.js';

const outcomes: Readonly<Record<Outcome, CallOutcome>> = {
  ok: CALL_OUTCOMES.ok,
  failed: CALL_OUTCOMES.failed,
  refused: CALL_OUTCOMES.refused,
  shed: CALL_OUTCOMES.shed,
  unreachable: CALL_OUTCOMES.unreachable,
  lost: CALL_OUTCOMES.failed,
  timeout: CALL_OUTCOMES.failed,
  cancelled: CALL_OUTCOMES.cancelled,
};

/** Membership data that an {@link InstanceAdapter} reads. @internal */
export interface MembershipView {
  readonly own: Pick<InstanceRecord, 'nodeId' | 'dataCentre' | 'region'>;
  candidates(
    service: string,
    version: string,
    region?: string,
  ): readonly Candidate[];
  addressOf(nodeId: string): string | undefined;
  live(): readonly Pick<InstanceRecord, 'nodeId'>[];
}

/** Options of {@link InstanceAdapter}. @internal */
export interface InstanceAdapterOptions {
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Picks the instance for each attempt from the mesh membership. @internal */
export class InstanceAdapter implements InstanceChooser {
  readonly #options: InstanceAdapterOptions;
  readonly #picker: InstancePicker;

  constructor(options: InstanceAdapterOptions) {
    this.#options = options;
    const {dataCentre} = options.membership.own;
    this.#picker = new InstancePicker({dataCentre});
  }

  pick(
    service: string,
    version: string,
    exclude: ReadonlySet<string>,
    limits: PickLimits = {},
  ): Target | null {
    const {membership} = this.#options;
    const {region} = membership.own;
    // Another region adds tens of milliseconds of latency, so the local region is
    // tried first.
    const picked =
      this.#pickFrom(service, version, exclude, limits, region) ??
      this.#pickFrom(service, version, exclude, limits);
    if (!picked) return null;
    const {nodeId} = picked;
    const address = membership.addressOf(nodeId) ?? '';
    return {nodeId, address, local: nodeId === membership.own.nodeId};
  }

  #pickFrom(
    service: string,
    version: string,
    exclude: ReadonlySet<string>,
    limits: PickLimits,
    region?: string,
  ): Candidate | null {
    const {membership, clock, random} = this.#options;
    const candidates = membership.candidates(service, version, region);
    const now = clock.now();
    return this.#picker
      .pick(service, version, candidates, now, random, exclude, limits)
      .unwrapOr(null);
  }

  /** Does nothing, because the picker counts the attempt in `pick`. */
  began(): void {
    return;
  }

  ended(attempt: AttemptOutcome): void {
    const {target, outcome, latencyMs, load, route} = attempt;
    const report = {
      nodeId: target.nodeId,
      outcome: outcomes[outcome],
      latencyMs,
      route,
      ...(load ? {load} : {}),
    };
    this.#picker.report(report, this.#options.clock.now());
  }

  /** Drops the picker state of instances that left the mesh. */
  retainMembers(): void {
    const live = this.#options.membership.live();
    this.#picker.retain(new Set(live.map(row => row.nodeId)));
  }
}

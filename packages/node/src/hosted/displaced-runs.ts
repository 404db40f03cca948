import {eraOf} from '@verbenabeam/store';
import type {OrderRecord} from './operator-records.js';
import {REWRITE_MS} from './operator-records.js';
import type {RolloutRun} from './rollout-run.js';

/** Rollouts that are remembered. */
const maxRuns = 16;

interface DisplacedRun {
  readonly run: RolloutRun;
  readonly at: number;
}

/**
 * Rollouts whose order gave way to another one of a later era. The copy of the store
 * may show an older order that this process has never seen; the operator then writes
 * the newer one again, which must not begin anew.
 *
 * @internal
 */
export class DisplacedRuns {
  #runs: DisplacedRun[] = [];

  /** Takes the place of a rollout; returns that of an equal order before, if any. */
  replace(
    previous: RolloutRun | undefined,
    record: OrderRecord,
    now: number,
  ): RolloutRun | null {
    const found = this.#runs.find(
      ({run, at}) =>
        now - at < REWRITE_MS && isEqual(run.orderRecord, record.order),
    );
    this.#runs = this.#runs.filter(entry => entry !== found);
    found?.run.move(record.revision, now);
    if (previous && isOfLaterEra(record, previous.orderRecord)) {
      this.#runs.push({run: previous, at: now});
      if (this.#runs.length > maxRuns) this.#runs.shift();
    }
    return found?.run ?? null;
  }
}

function isOfLaterEra(a: OrderRecord, b: OrderRecord): boolean {
  return eraOf(a.revision) > eraOf(b.revision);
}

function isEqual(
  {order}: OrderRecord,
  {service, targetVersion, durationMs}: OrderRecord['order'],
): boolean {
  return (
    order.service === service &&
    order.targetVersion === targetVersion &&
    order.durationMs === durationMs
  );
}

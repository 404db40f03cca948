import {logger} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {OperatorFormat, RolloutStatus} from './operator-documents.js';
import type {RolloutRun} from './rollout-run.js';

const timeoutMs = 800;
const log = logger('rollout');

interface StoredStatus {
  /** 0 without a record. */
  readonly revision: number;
  /** Null if the record belongs to an earlier order. */
  readonly status: RolloutStatus | null;
}

/**
 * Writes the state of rollouts to the store, where operators read it. Several
 * coordinators may write: one write succeeds by compare-and-swap, and a final state
 * is not overwritten.
 *
 * @internal
 */
export class RolloutRecorder {
  readonly #store: Store;
  readonly #format: OperatorFormat;

  constructor(store: Store, format: OperatorFormat) {
    this.#store = store;
    this.#format = format;
  }

  /** Reads the status of the rollout and adopts a final state. */
  async read(run: RolloutRun): Promise<StoredStatus | null> {
    const {service} = run.orderRecord.order;
    const got = await this.#store.get(this.#format.statusKey(service), {
      timeoutMs,
    });
    if (got.isErr) return null;
    const entry = got.value;
    if (!entry) return {revision: 0, status: null};
    const {revision} = entry;
    const status = this.#format.parseStatus(entry.value);
    const isOfOrder =
      revision > run.orderRecord.revision &&
      status?.targetVersion === run.target;
    if (!isOfOrder) return {revision, status: null};
    run.recorded = status.state;
    const isFinal = status.state !== ROLLOUT_STATES.running;
    if (isFinal && run.state !== status.state) {
      log('Rollout has already ended, according to the store.', {
        service,
        ...status,
      });
      run.state = status.state;
    }
    return {revision, status};
  }

  /** Writes the state of the rollout unless the store has a final one. */
  async write(run: RolloutRun): Promise<void> {
    if (run.isWriting) return;
    run.isWriting = true;
    await this.#write(run);
    run.isWriting = false;
  }

  async #write(run: RolloutRun): Promise<void> {
    const stored = await this.read(run);
    if (!stored || run.recorded === run.state) return;
    const {service} = run.orderRecord.order;
    const key = this.#format.statusKey(service);
    const {state, target} = run;
    const value = this.#format.encodeStatus({state, targetVersion: target});
    const written = await this.#store.txn(
      {compares: [{key, revision: stored.revision}], puts: [{key, value}]},
      {timeoutMs},
    );
    // After a lost answer or a conflict, the next tick reads and writes again.
    if (written.isErr || !written.value.committed) return;
    run.recorded = state;
    log('Rollout state written to the store.', {service, target, state});
  }
}

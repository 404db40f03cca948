import {Result} from 'true-myth';
import {MeshError, STORE_CODES} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {
  Entry,
  StoreCallOptions,
  Txn,
  TxnOutcome,
  WatchEvent,
  WatchOptions,
} from '@verbenabeam/store';
import {MemoryState, MemoryStore} from '@verbenabeam/store/fakes';
import type {SimScheduler} from './sim-scheduler.js';

const maxLatencyMs = 10;
const responseTimeoutMs = 500;
const maxLateWriteMs = 3_000;
/** Leaves room for the metadata line above a text of 1,000,000 bytes. */
const maxValueBytes = 1_048_576;

/**
 * `MemoryStore` with random latency, writes that take effect after their time
 * limit, and restores of an older state.
 *
 * @internal
 */
export class SimStore extends MemoryStore {
  /** Share of transactions whose response is lost. */
  lostResponses = 0;
  readonly #scheduler: SimScheduler;
  readonly #random: RandomSource;
  readonly #onCommit: (puts: readonly Entry[], restores: number) => void;
  #backup = this.state.image();
  #restores = 0;
  #outages = 0;

  constructor(
    scheduler: SimScheduler,
    random: RandomSource,
    onCommit: (puts: readonly Entry[], restores: number) => void,
  ) {
    const sleep = (ms: number) => scheduler.wait(random.float() * ms);
    super({clock: scheduler, sleep, state: new MemoryState(maxValueBytes)});
    // A read takes effect after its sleep, a write between its two halves.
    this.faults.readMs = maxLatencyMs;
    this.faults.writeMs = 2 * maxLatencyMs;
    this.#scheduler = scheduler;
    this.#random = random;
    this.#onCommit = onCommit;
    this.#observe();
  }

  get restores(): number {
    return this.#restores;
  }

  /** Outages so far; null while the store is down. */
  get outages(): number | null {
    return this.faults.down ? null : this.#outages;
  }

  override setDown(down: boolean): void {
    if (down) this.#outages++;
    super.setDown(down);
  }

  backUp(): void {
    this.state.expire(this.#scheduler.now());
    this.#backup = this.state.image();
  }

  /** Returns to the last backup. Later leases and writes in transit are lost. */
  restore(): void {
    this.#restores++;
    const backup = this.#backup;
    const current = this.state.image();
    const leases = new Map(
      [...current.leases].filter(([id]) => backup.leases.has(id)),
    );
    const entries = new Map(
      [...backup.entries].filter(
        ([, {lease}]) => lease === null || leases.has(lease),
      ),
    );
    this.state.restore({...backup, entries, leases});
  }

  /** Reads without a call, for checks of the run. */
  peek(key: string): Entry | null {
    this.state.expire(this.#scheduler.now());
    return this.state.range(key, false)[0] ?? null;
  }

  override get(key: string, options?: StoreCallOptions) {
    return this.#delayed(super.get(key, options));
  }

  override list(prefix: string, options?: StoreCallOptions) {
    return this.#delayed(super.list(prefix, options));
  }

  override async txn(
    txn: Txn,
    options?: StoreCallOptions,
  ): Promise<Result<TxnOutcome, MeshError>> {
    if (this.#random.float() >= this.lostResponses) {
      return super.txn(txn, options);
    }
    const fate = this.#random.float();
    // A third of the lost writes never arrive; the rest arrive now or late.
    if (fate > 1 / 3 && !this.faults.down) {
      this.#applyLate(txn, fate * maxLateWriteMs);
    }
    await this.#scheduler.wait(responseTimeoutMs);
    const code = STORE_CODES.unknownOutcome;
    return Result.err(new MeshError(code, code.text));
  }

  override async watch(
    options: WatchOptions,
  ): Promise<Result<true, MeshError>> {
    let isLive = true;
    const onEvent = (event: WatchEvent) =>
      this.#scheduler.after(this.#random.float() * maxLatencyMs, () => {
        if (isLive) options.onEvent(event);
      });
    const ended = await super.watch({...options, onEvent});
    isLive = false;
    return ended;
  }

  /** Delays a response, so that it may be out of date on arrival. */
  async #delayed<T>(call: Promise<T>): Promise<T> {
    const response = await call;
    await this.#scheduler.wait(this.#random.float() * maxLatencyMs);
    return response;
  }

  #applyLate(txn: Txn, delayMs: number): void {
    const restores = this.#restores;
    this.#scheduler.after(delayMs, () => {
      if (restores !== this.#restores || this.faults.down) return;
      this.state.expire(this.#scheduler.now());
      this.state.txn(txn);
    });
  }

  /** Reports commits; an outage or a restore ends a subscription. */
  #observe(): void {
    this.state.subscribe({
      key: '',
      prefix: true,
      fromRevision: 0,
      onEvents: events => {
        const puts = events.flatMap(e => (e.type === 'put' ? [e.entry] : []));
        this.#onCommit(puts, this.#restores);
      },
      onLost: () => this.#observe(),
    });
  }
}

import {logger} from '@verbenabeam/core';
import {decodePosition, encodePosition, eraOf} from '@verbenabeam/store';
import type {Store} from '@verbenabeam/store';

/** Dependencies of an {@link EraLog}. @internal */
export interface EraLogOptions {
  readonly store: Store;
  /** Services whose rollout status is written. */
  readonly rollouts: () => readonly string[];
  /** Whether the entry in the directory is written. */
  readonly isListed: () => boolean;
}

const log = logger('store');

/** Logs each new era of the store once, wherever the node learns of it. @internal */
export class EraLog {
  readonly #options: EraLogOptions;
  /** Last era that was logged. */
  #era = 0;

  constructor(options: EraLogOptions) {
    this.#options = options;
    options.store.eras?.onChange((era, before) =>
      this.onPosition(encodePosition(before, 0), encodePosition(era, 0)),
    );
  }

  /** Takes the positions of the newest records before and after a new era. */
  onPosition(before: number, after: number): void {
    const era = eraOf(after);
    if (era <= this.#era) return;
    this.#era = era;
    const {era: eraBefore, revision: revisionBefore} = decodePosition(before);
    const {revision} = decodePosition(after);
    const {rollouts, isListed} = this.#options;
    log('Store has begun a new era: it may have lost acknowledged writes.', {
      era,
      eraBefore,
      revision,
      revisionBefore,
      rewrites: [
        ...rollouts().map(service => `status of ${service}`),
        ...(isListed() ? ['directory entry'] : []),
      ],
    });
  }
}

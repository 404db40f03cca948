import {logger} from '@verbenabeam/core';

/** Errors within the window after which the process ends. */
const maxErrors = 20;
const windowMs = 60_000;
const log = logger('program');

/** Options of {@link ProcessGuard}. */
export interface ProcessGuardOptions {
  /** Counts an error in the metrics. */
  readonly onError: () => void;
  /** Called once if errors come so often that the process must end. */
  readonly onTooMany: () => void;
  /** Clock in ms; default `performance.now`. */
  readonly now?: () => number;
}

/**
 * Keeps the process up after an error that no handler has caught: the other calls
 * go on, and the call that is concerned ends at its deadline. Errors that come
 * often mean that the state of the process is broken; then it ends.
 */
export class ProcessGuard {
  readonly #options: ProcessGuardOptions;
  readonly #now: () => number;
  #errorTimes: number[] = [];
  #hasEnded = false;

  constructor(options: ProcessGuardOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Handles all errors of the process that nothing else catches. */
  install(): void {
    process.on('uncaughtException', err => this.handle(err));
    process.on('unhandledRejection', reason => this.handle(reason));
  }

  /** Handles one error. */
  handle(reason: unknown): void {
    const now = this.#now();
    this.#errorTimes = this.#errorTimes.filter(at => now - at < windowMs);
    this.#errorTimes.push(now);
    const err = reason instanceof Error ? reason.stack : String(reason);
    log('Unexpected error.', {err, recent: this.#errorTimes.length});
    this.#options.onError();
    if (this.#errorTimes.length <= maxErrors || this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onTooMany();
  }
}

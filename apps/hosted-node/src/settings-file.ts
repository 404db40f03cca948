import {statSync} from 'node:fs';
import {logger} from '@verbenabeam/core';
import type {HostedSettings} from '@verbenabeam/node';
import {readBootSettings} from '@verbenabeam/platform';

/** The platform may change the file without a signal. */
const pollMs = 2_000;
const log = logger('settings');

/** The settings file of a running node, read again when it changes. */
export class SettingsFile {
  readonly #path: string;
  readonly #metricsPort: number | null;
  #settings: HostedSettings;
  #changedAt: number;

  constructor(
    path: string,
    metricsPort: number | null,
    settings: HostedSettings,
  ) {
    this.#path = path;
    this.#metricsPort = metricsPort;
    this.#settings = settings;
    this.#changedAt = this.#lastChange();
  }

  get current(): HostedSettings {
    return this.#settings;
  }

  /**
   * Follows the file and SIGHUP until the process ends. The handler is never
   * removed: without one, SIGHUP ends the process, also while it stops.
   */
  follow(onChange: (settings: HostedSettings) => void): void {
    const timer = setInterval(() => {
      if (this.#lastChange() !== this.#changedAt) this.#reload(onChange);
    }, pollMs);
    timer.unref();
    process.on('SIGHUP', () => this.#reload(onChange));
  }

  /** A file that cannot be read keeps the settings in use. */
  #reload(onChange: (settings: HostedSettings) => void): void {
    this.#changedAt = this.#lastChange();
    const read = readBootSettings(this.#path, this.#metricsPort);
    if (read.isErr) {
      const {code, message} = read.error;
      log('Settings file refused.', {code: code.code, message});
      return;
    }
    this.#settings = read.value;
    log('Settings were read again.', {path: this.#path});
    onChange(read.value);
  }

  #lastChange(): number {
    return statSync(this.#path, {throwIfNoEntry: false})?.mtimeMs ?? 0;
  }
}

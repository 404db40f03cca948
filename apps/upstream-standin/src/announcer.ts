import {logger} from '@verbenabeam/core';
import {request} from 'undici';
import type {StandinSettings} from './options.js';

/** State in an announcement. @public */
export type AnnouncedState = 'cold' | 'ready' | 'leaving';

const requestTimeoutMs = 1000;
const log = logger('upstream-standin');

/** Announces the upstream to the node beside it. @internal */
export class Announcer {
  readonly #settings: StandinSettings;
  readonly #address: string;
  #state: AnnouncedState;
  #timer: NodeJS.Timeout | null = null;

  constructor(
    settings: StandinSettings,
    address: string,
    state: AnnouncedState,
  ) {
    this.#settings = settings;
    this.#address = address;
    this.#state = state;
    if (settings.node === null) return;
    void this.#announce();
    this.#timer = setInterval(() => {
      void this.#announce();
    }, settings.announceEveryMs);
  }

  get state(): AnnouncedState {
    return this.#state;
  }

  /** Announces a change at once. */
  async change(state: AnnouncedState): Promise<void> {
    this.#state = state;
    await this.#announce();
  }

  stop(): void {
    if (this.#timer) clearInterval(this.#timer);
  }

  async #announce(): Promise<void> {
    const {node, service, version, slots} = this.#settings;
    if (node === null) return;
    const body = JSON.stringify({
      service,
      version,
      address: this.#address,
      slots,
      state: this.#state,
    });
    try {
      const res = await request(`${node}/announce`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body,
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs,
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      await res.body.dump();
    } catch (err) {
      log('Announcement failed', {nodeId: node, err: String(err)});
    }
  }
}

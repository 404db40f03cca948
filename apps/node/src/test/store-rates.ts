import {setTimeout as sleep} from 'node:timers/promises';

interface Sample {
  readonly at: number;
  readonly total: number;
  readonly writes: number;
}

/** Asks for the call counts of the store stand-in. @internal */
export type CountsSource = () => Promise<{
  counts: {total: number; writes: number};
}>;

const sampleMs = 50;
const windowMs = 1_000;

/** Samples the store's call counts to find the busiest second. @internal */
export class StoreRates {
  readonly #source: CountsSource;
  readonly #samples: Sample[] = [];
  #running = true;
  #loop: Promise<void> = Promise.resolve();

  constructor(source: CountsSource) {
    this.#source = source;
  }

  async start(): Promise<void> {
    await this.#take();
    this.#loop = this.#run();
  }

  async stop(): Promise<void> {
    this.#running = false;
    await this.#loop;
  }

  /** Most reads and most writes between samples at most a second apart. */
  highest(): {reads: number; writes: number} {
    let [reads, writes] = [0, 0];
    for (const from of this.#samples) {
      for (const to of this.#samples) {
        const span = to.at - from.at;
        if (span <= 0 || span > windowMs) continue;
        const wrote = to.writes - from.writes;
        writes = Math.max(writes, wrote);
        reads = Math.max(reads, to.total - from.total - wrote);
      }
    }
    return {reads, writes};
  }

  async #run(): Promise<void> {
    while (this.#running) {
      await sleep(sampleMs);
      await this.#take();
    }
  }

  async #take(): Promise<void> {
    const {counts} = await this.#source();
    this.#samples.push({at: Date.now(), ...counts});
  }
}

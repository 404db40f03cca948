import type {RandomSource} from '@verbenabeam/core';
import type {Store} from '@verbenabeam/store';
import {MemoryState} from '@verbenabeam/store/fakes';
import type {StateImage} from '@verbenabeam/store/fakes';
import {DrillClient} from './drill-client.js';
import type {VirtualTime} from './virtual-time.js';

/** Age of the oldest copy, in ms. */
const maxCopyAgeMs = 8_000;

interface Copy {
  readonly at: number;
  readonly image: StateImage;
}

/** A committed write of a node. */
export interface StatusWrite {
  readonly nodeId: string;
  readonly key: string;
  readonly value: Uint8Array;
}

/** What the store does to the calls of all nodes. */
export interface DrillStoreFaults {
  /** Share of calls that are held up on their way there or back. */
  lateShare: number;
  /** Share of calls whose answers are lost. */
  lostShare: number;
  /** Nodes that do not reach the store. */
  readonly unreached: Set<string>;
}

/** Store in virtual time that comes back from copies of its state. */
export class DrillStore {
  readonly state = new MemoryState();
  readonly faults: DrillStoreFaults = {
    lateShare: 0,
    lostShare: 0,
    unreached: new Set(),
  };
  /** Calls of all nodes. */
  calls = 0;
  /** Called with each committed write of a node. */
  onWrite: (write: StatusWrite) => void = () => undefined;
  /** Called with a fault of a node. */
  onFault: (text: string) => void = () => undefined;
  readonly time: VirtualTime;
  readonly random: RandomSource;
  #era = 1;
  /** Drills that keep the store away. */
  #away = 0;
  #copies: Copy[] = [];

  constructor(time: VirtualTime, random: RandomSource) {
    this.time = time;
    this.random = random;
  }

  get era(): number {
    return this.#era;
  }

  get isAway(): boolean {
    return this.#away > 0;
  }

  /** Keeps a copy of the state as it is now. */
  copy(): void {
    const {time, state} = this;
    this.#copies = this.#copies.filter(
      ({at}) => time.now() - at <= maxCopyAgeMs,
    );
    this.#copies.push({at: time.now(), image: state.image()});
  }

  /** The store is away for a time and comes back from a copy. */
  drill(ageMs: number, awayMs: number, onBack: () => void): void {
    const oldest = this.time.now() - ageMs;
    const copy = this.#copies.find(({at}) => at >= oldest);
    this.#away++;
    this.state.dropWatches();
    this.time.after(
      awayMs,
      () => {
        this.#away--;
        this.#era++;
        if (copy) this.state.restore(copy.image);
        // The time of a copy ends with a later one.
        this.#copies = this.#copies.filter(({at}) => at <= (copy?.at ?? 0));
        onBack();
      },
      '',
    );
  }

  put(key: string, value: string): void {
    this.state.txn({compares: [], puts: [{key, value: Buffer.from(value)}]});
  }

  value(key: string): string | null {
    const [entry] = this.state.range(key, false);
    return entry ? Buffer.from(entry.value).toString() : null;
  }

  client(nodeId: string): Store {
    return new DrillClient(this, nodeId);
  }
}

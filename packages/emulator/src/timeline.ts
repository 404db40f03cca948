import TinyQueue from 'tinyqueue';

interface Event {
  readonly at: number;
  /** Keeps events of one time in the order in which they were added. */
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their time; all times in ms. @internal */
export class Timeline {
  now = 0;
  #added = 0;
  readonly #events = new TinyQueue<Event>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );

  at(time: number, run: () => void): void {
    this.#events.push({
      at: Math.max(this.now, time),
      order: this.#added++,
      run,
    });
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.now + delayMs, run);
  }

  /** Runs all events up to a time. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.#events.peek();
      if (!next || next.at > end) break;
      this.#events.pop();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }
}

/** Consumers of one machine, each on a kept channel, one request at a time. */
import {Channel} from './channel.mjs';
import {sleep} from './scene.mjs';

export class Consumers {
  /** All requests that were sent. */
  rows = [];
  #isOn = true;
  #loops = [];

  /**
   * @param options - `count` consumers of `machine`; `next(n, i)` is the i-th
   *   group of requests of consumer n, sent at once; `pauseMs` between groups.
   */
  constructor({machine, count, pauseMs, next}) {
    for (let n = 0; n < count; n++) {
      this.#loops.push(this.#run(machine, n, pauseMs, next));
    }
  }

  async stop() {
    this.#isOn = false;
    await Promise.all(this.#loops);
  }

  async #run(machine, n, pauseMs, next) {
    let channel = null;
    for (let i = 0; this.#isOn && machine.exit === null; i++) {
      if (!channel?.isOpen) channel = new Channel(machine.outbound);
      const sent = next(n, i).map(request => channel.send(request));
      this.rows.push(...sent);
      await Promise.race([
        Promise.all(sent.map(({done}) => done)),
        sleep(sent[0].deadlineMs),
      ]);
      // A consumer closes its channel at its time limit.
      if (sent.some(({end}) => end === null)) channel.close();
      await sleep(pauseMs);
    }
    channel?.close();
  }
}

import type {ServerStandin} from '@verbenabeam/platform/fakes';
import type {FaultLog} from './fault-log.js';
import type {Machine} from './machine.js';
import type {Promises} from './promises.js';

/** Time after which an upstream that has left gets no more calls. */
const leftWithinMs = 2_000;
/** Faults of the upstream's link around its leaving may hold calls back. */
const heldMs = 6_000;

/** An upstream that has left. */
interface LeftUpstream {
  readonly server: ServerStandin;
  readonly machine: Machine;
  readonly at: number;
  /** Its runs until it should get no more. */
  readonly runs: number;
}

/** Checks that upstreams that have left get no calls. */
export class LeftUpstreams {
  readonly #left: LeftUpstream[] = [];
  readonly #log: FaultLog;
  readonly #promises: Promises;

  constructor(log: FaultLog, promises: Promises) {
    this.#log = log;
    this.#promises = promises;
  }

  /** The node has acknowledged that the upstream leaves. */
  add(machine: Machine, server: ServerStandin): void {
    const at = performance.now();
    setTimeout(() => {
      this.#left.push({server, machine, at, runs: server.runs.length});
    }, leftWithinMs);
  }

  check(): void {
    for (const {server, machine, at, runs} of this.#left) {
      const held = this.#log.between(
        at - heldMs,
        at + heldMs,
        ({kind, machines}) =>
          kind.startsWith('upstream link') && machines.includes(machine.at),
      );
      if (held.length > 0) {
        this.#promises.note('not judged: calls to a left upstream held back');
        continue;
      }
      this.#promises.check('leftUnused', server.runs.length === runs, () => ({
        machine: machine.at,
        server: server.id,
        leftAt: at,
        late: server.runs.slice(runs),
      }));
    }
  }
}

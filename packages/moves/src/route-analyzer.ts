import type {EvidenceCell} from './evidence.js';
import type {MovePolicy} from './move-policy.js';
import {Stratum} from './stratum.js';
import type {CellContext} from './stratum.js';
import {VersionTests} from './version-tests.js';
import type {Finding} from './version-tests.js';

/**
 * Tests one route, and adds its blocks to the tests of the whole service.
 *
 * @internal
 */
export class RouteAnalyzer {
  readonly #tests: VersionTests;
  readonly #service: VersionTests;
  readonly #strata = new Map<number, Stratum>();
  #lastLevel = 0;

  constructor(policy: MovePolicy, service: VersionTests) {
    this.#tests = new VersionTests(policy, true);
    this.#service = service;
  }

  add(cell: EvidenceCell, context: CellContext): void {
    this.#lastLevel = cell.level;
    const closed = this.#stratum(cell.level).add(cell, context);
    if (!closed) return;
    this.#tests.add(closed, context.step);
    this.#service.add(closed, context.step);
  }

  /** Adds a crash that is attributed to the version. */
  addCrash(isNew: boolean): void {
    this.#stratum(this.#lastLevel).addFailure(isNew);
  }

  finding(): Finding {
    return this.#tests.finding();
  }

  #stratum(level: number): Stratum {
    const known = this.#strata.get(level);
    if (known) return known;
    const stratum = new Stratum();
    this.#strata.set(level, stratum);
    return stratum;
  }
}

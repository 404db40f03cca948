import {CrashLedger} from './crash-ledger.js';
import type {CrashReport, Evidence} from './evidence.js';
import {mergeCrashes} from './evidence.js';
import type {MovePolicy} from './move-policy.js';
import {RouteJudge} from './route-judge.js';
import type {Verdict} from './verdict.js';
import {VersionTests} from './version-tests.js';
import type {Finding} from './version-tests.js';

/** Settings of the tests of one move. @public */
export interface AnalyzerOptions {
  readonly policy: MovePolicy;
  /**
   * Number of routes of the service. The error rate is split over the routes
   * and the tests of the whole service.
   */
  readonly routes: number;
  /**
   * Part of the policy's alpha that this judge may spend. The controller has
   * {@link controllerAlphaPart}; the entry nodes share the rest.
   */
  readonly alphaPart: number;
}

/** Part of alpha for the controller's tests. @public */
export const controllerAlphaPart = 0.5;

/** Part of alpha for the local tests of one of `nodes` entry nodes. @public */
export function localAlphaPart(nodes: number): number {
  return (1 - controllerAlphaPart) / Math.max(1, nodes);
}

/** One test for failures, one for slowness; per route and for all routes. */
const testsPerGroup = 2;

/** Evidence of 20 to 1 holds the share; it is far from a stop. */
const suspectLog = Math.log(20);

/** Crash reports of several nodes meet within this time. */
const crashWaitMs = 1_500;

/** Tests the evidence of one move. @public */
export class MoveAnalyzer {
  readonly #options: AnalyzerOptions;
  readonly #routes = new Map<string, RouteJudge>();
  /**
   * A fault of all routes shows in the sum of their calls first: the busiest
   * route of a service may have less than half of the calls.
   */
  readonly #service: VersionTests;
  readonly #ledger = new CrashLedger();
  readonly #stopLog: number;
  #waiting: {at: number; report: CrashReport}[] = [];

  constructor(options: AnalyzerOptions) {
    this.#options = options;
    const {policy, routes, alphaPart} = options;
    this.#service = new VersionTests(policy, false);
    const tests = testsPerGroup * (Math.max(1, routes) + 1);
    this.#stopLog = -Math.log((policy.alpha * alphaPart) / tests);
  }

  /**
   * Adds evidence.
   *
   * @param share - Share of the new version when the evidence was counted.
   */
  add(evidence: Evidence, share: number, now: number): void {
    this.#ledger.clear(evidence.cleared);
    for (const report of evidence.crashes) {
      this.#waiting.push({at: now, report});
    }
    for (const cell of evidence.cells) {
      this.#route(cell.route).add(cell, {step: evidence.step, share, now});
    }
  }

  /** Settles crashes whose reports have met; called before the verdict. */
  attributeCrashes(now: number): void {
    const due = this.#waiting.filter(w => now - w.at >= crashWaitMs);
    if (due.length === 0) return;
    const dueIds = new Set(due.map(w => w.report.crashId));
    const reports = this.#waiting.filter(w => dueIds.has(w.report.crashId));
    this.#waiting = this.#waiting.filter(w => !dueIds.has(w.report.crashId));
    for (const report of mergeCrashes(reports.map(w => w.report))) {
      if (!this.#ledger.add(report)) continue;
      this.#route(report.route).addCrash(report.isNew);
    }
  }

  verdict(): Verdict {
    const worst = this.#worst();
    if (worst.log < suspectLog) return {kind: 'clean'};
    const kind = worst.log >= this.#stopLog ? 'stop' : 'suspect';
    return {kind, reason: worst.text};
  }

  #worst(): Finding {
    let worst = prefixed('all routes', this.#service.finding());
    for (const [name, route] of this.#routes) {
      const finding = route.finding();
      if (finding.log >= worst.log) worst = prefixed(`route ${name}`, finding);
    }
    return worst;
  }

  #route(name: string): RouteJudge {
    const known = this.#routes.get(name);
    if (known) return known;
    const judge = new RouteJudge(this.#options.policy, this.#service);
    this.#routes.set(name, judge);
    return judge;
  }
}

function prefixed(scope: string, {log, text}: Finding): Finding {
  return {log, text: `${scope}: ${text}`};
}

import {CrashAttribution} from './crash-attribution.js';
import type {CrashReport, Evidence} from './evidence.js';
import {mergeCrashes} from './evidence.js';
import type {MovePolicy} from './move-policy.js';
import {RouteAnalyzer} from './route-analyzer.js';
import type {Verdict} from './verdict.js';
import {VersionTests} from './version-tests.js';
import type {Finding} from './version-tests.js';

/** Options of the tests of one move. @public */
export interface AnalyzerOptions {
  readonly policy: MovePolicy;
  /**
   * Number of routes of the service. The error rate is divided between the
   * routes and the tests of the whole service.
   */
  readonly routes: number;
  /**
   * Fraction of the policy's alpha that this analyzer may use. The controller
   * has {@link controllerAlphaPart}; the entry nodes share the rest.
   */
  readonly alphaPart: number;
}

/** Fraction of alpha for the tests of the controller. @public */
export const controllerAlphaPart = 0.5;

/**
 * Fraction of alpha for the local tests of one of `nodes` entry nodes.
 *
 * @public
 */
export function localAlphaPart(nodes: number): number {
  return (1 - controllerAlphaPart) / Math.max(1, nodes);
}

/**
 * Tests per route, and for all routes together: one of failures, one of
 * latencies.
 */
const testsPerGroup = 2;

/** A likelihood ratio of 20 to 1 holds the share; a stop needs far more. */
const suspectLogThreshold = Math.log(20);

/** Time in which the reports of one crash arrive from all nodes. */
const crashWaitMs = 1_500;

/** Tests the new version of one move against the old one. @public */
export class MoveAnalyzer {
  readonly #options: AnalyzerOptions;
  readonly #routes = new Map<string, RouteAnalyzer>();
  /**
   * Tests over all routes. They detect a fault of all routes first, because
   * even the busiest route may have less than half of the calls.
   */
  readonly #service: VersionTests;
  readonly #attribution = new CrashAttribution();
  readonly #stopLogThreshold: number;
  #pendingCrashes: {at: number; report: CrashReport}[] = [];

  constructor(options: AnalyzerOptions) {
    this.#options = options;
    const {policy, routes, alphaPart} = options;
    this.#service = new VersionTests(policy, false);
    const tests = testsPerGroup * (Math.max(1, routes) + 1);
    this.#stopLogThreshold = -Math.log((policy.alpha * alphaPart) / tests);
  }

  /**
   * Adds evidence.
   *
   * @param share - Share of the new version while the evidence was counted.
   */
  add(evidence: Evidence, share: number, now: number): void {
    this.#attribution.clear(evidence.cleared);
    for (const report of evidence.crashes) {
      this.#pendingCrashes.push({at: now, report});
    }
    for (const cell of evidence.cells) {
      this.#route(cell.route).add(cell, {step: evidence.step, share, now});
    }
  }

  /**
   * Attributes crashes whose reports have all arrived. Called before the
   * verdict.
   */
  attributeCrashes(now: number): void {
    const due = this.#pendingCrashes.filter(w => now - w.at >= crashWaitMs);
    if (due.length === 0) return;
    const dueIds = new Set(due.map(w => w.report.crashId));
    const reports = this.#pendingCrashes.filter(w =>
      dueIds.has(w.report.crashId),
    );
    this.#pendingCrashes = this.#pendingCrashes.filter(
      w => !dueIds.has(w.report.crashId),
    );
    for (const report of mergeCrashes(reports.map(w => w.report))) {
      if (!this.#attribution.add(report)) continue;
      this.#route(report.route).addCrash(report.isNew);
    }
  }

  verdict(): Verdict {
    const worst = this.#worst();
    if (worst.log < suspectLogThreshold) return {kind: 'clean'};
    const kind = worst.log >= this.#stopLogThreshold ? 'stop' : 'suspect';
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

  #route(name: string): RouteAnalyzer {
    const known = this.#routes.get(name);
    if (known) return known;
    const analyzer = new RouteAnalyzer(this.#options.policy, this.#service);
    this.#routes.set(name, analyzer);
    return analyzer;
  }
}

function prefixed(scope: string, {log, text}: Finding): Finding {
  return {log, text: `${scope}: ${text}`};
}

import {TARGETS} from '../bounds.js';
import type {Row} from '../report/part-result.js';
import type {PlotOptions} from '../report/svg.js';
import {measureBytes} from './bytes.js';
import {measureCalls} from './call.js';
import {measureConvergence} from './convergence.js';
import {measureCost} from './cost.js';
import {measureLog} from './log.js';
import type {PartOptions} from './part-options.js';
import {measurePolicy} from './policy.js';
import {measureStore} from './store.js';

/** A part of the bench. @internal */
export interface Part {
  readonly measure: (options: PartOptions) => Promise<Row[]>;
  readonly defaults: PartOptions;
  readonly plot: PlotOptions;
}

/** The parts by name. @internal */
export const PARTS: Readonly<Record<string, Part>> = {
  call: {
    measure: measureCalls,
    defaults: {seconds: 4, nodes: [2]},
    plot: {
      title: 'Time added to a call at p99, ms',
      value: 'addedP99Ms',
      limit: TARGETS.addedP99Ms,
    },
  },
  bytes: {
    measure: measureBytes,
    defaults: {seconds: 8, nodes: [5, 10, 20, 40]},
    plot: {
      title: 'Control bytes per node beyond those at rest',
      value: 'sentBytes',
    },
  },
  cost: {
    measure: measureCost,
    defaults: {seconds: 6, nodes: [5, 10, 20, 40]},
    plot: {
      title: 'Control processor time of a node at rest, % of a core',
      value: 'corePercent',
      limit: TARGETS.controlCorePercent,
    },
  },
  convergence: {
    measure: measureConvergence,
    defaults: {seconds: 0, nodes: [5, 10, 20, 40, 80]},
    plot: {
      title: 'Acceptance to active on the last node, p99, ms',
      value: 'p99Ms',
      limit: TARGETS.convergenceP99Ms,
    },
  },
  store: {
    measure: measureStore,
    defaults: {seconds: 5, nodes: [5, 10, 20, 40]},
    plot: {
      title: 'Reads from the store per second, all nodes',
      value: 'readsPerSecond',
    },
  },
  log: {
    measure: measureLog,
    defaults: {seconds: 60, nodes: []},
    plot: {
      title: 'Part of a node’s processor time that the log takes, %',
      value: 'logPercent',
      limit: TARGETS.logPercent,
    },
  },
  policy: {
    measure: measurePolicy,
    defaults: {seconds: 0, nodes: []},
    plot: {
      title: 'p99 of a pool with one faulty instance, ms (model)',
      value: 'p99Ms',
    },
  },
};

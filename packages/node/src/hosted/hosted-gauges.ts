import type {LoadReport} from '@verbenabeam/routing';
import type {WaitPlace} from '../calls/index.js';
import type {EraView} from '@verbenabeam/store';
import type {GaugeSource} from '../metrics/gauge-source.js';
import type {ResponseTotals} from './response-totals.js';
import type {RolloutView} from './rollout-view.js';

/** Values that the gauges of a hosted node read. @internal */
export interface HostedGaugeParts {
  /** Load of the upstream of this node. */
  readonly load: () => LoadReport;
  /** Remaining retries of a service. */
  readonly retriesLeft: (service: string) => number;
  readonly rollouts: () => readonly RolloutView[];
  /** Time since the configuration took effect, in ms; not finite without one. */
  readonly configAgeMs: () => number;
  /** Time since the node learned of a newer configuration or order, in ms. */
  readonly behindMs: () => number;
  readonly services: () => readonly string[];
  readonly isStoreReachable: () => boolean;
  /** Undefined for a store that tells no eras. */
  readonly eras: () => EraView | undefined;
  /** Time that connections of callers wait to be accepted, in ms. */
  readonly acceptWaitMs: () => number;
  /** Calls with a long wait, by place of the wait. */
  readonly waits: () => ReadonlyMap<WaitPlace, number>;
  /** Share of the last second in which the event loop was busy, 0 to 1. */
  readonly busyRatio: () => number;
  readonly responses: () => ResponseTotals;
}

const msPerSecond = 1_000;
const noEras: EraView = {era: 0, begun: 0, dropped: 0};

/** Gauges that only a hosted node exports. @internal */
export function hostedGauges(parts: HostedGaugeParts): readonly GaugeSource[] {
  const {load, rollouts} = parts;
  const eras = () => parts.eras() ?? noEras;
  return [
    {
      name: 'verbenabeam_upstream_slots',
      help: 'Calls that the own upstream runs at once.',
      read: () => [{labels: {}, value: load().slots}],
    },
    {
      name: 'verbenabeam_upstream_responses_exceeded',
      help: 'Responses of the own upstream given up over a limit, since the start.',
      read: () => [{labels: {}, value: parts.responses().exceeded}],
    },
    {
      name: 'verbenabeam_upstream_reset_ends',
      help: 'Connections of the own upstream whose end was a reset, since the start.',
      read: () => [{labels: {}, value: parts.responses().resetEnds}],
    },
    {
      name: 'verbenabeam_held_response_bytes',
      help: 'Memory of responses without a length that are held.',
      read: () => [{labels: {}, value: parts.responses().heldBytes}],
    },
    {
      name: 'verbenabeam_upstream_queue',
      help: 'Calls that wait for a slot of the own upstream.',
      read: () => [{labels: {}, value: load().queued}],
    },
    {
      name: 'verbenabeam_retry_budget',
      help: 'Retries that this node may make now, by service.',
      labelNames: ['service'],
      read: () =>
        parts.services().map(service => ({
          labels: {service},
          value: parts.retriesLeft(service),
        })),
    },
    {
      name: 'verbenabeam_config_age_seconds',
      help: 'Time since the configuration came into force.',
      read: () => {
        const ageMs = parts.configAgeMs();
        if (!Number.isFinite(ageMs)) return [];
        return [{labels: {}, value: ageMs / msPerSecond}];
      },
    },
    {
      name: 'verbenabeam_config_behind_seconds',
      help: 'Time for which a newer configuration or order has been known.',
      read: () => [{labels: {}, value: parts.behindMs() / msPerSecond}],
    },
    {
      name: 'verbenabeam_store_reachable',
      help: '1 if the last call to the store succeeded, else 0.',
      read: () => [{labels: {}, value: parts.isStoreReachable() ? 1 : 0}],
    },
    {
      name: 'verbenabeam_store_era',
      help: 'Era of the store; it rises when the store comes back from a copy.',
      read: () => [{labels: {}, value: eras().era}],
    },
    {
      name: 'verbenabeam_store_eras_begun',
      help: 'Eras of the store that began since the start of the node.',
      read: () => [{labels: {}, value: eras().begun}],
    },
    {
      name: 'verbenabeam_store_old_answers',
      help: 'Answers of the store dropped since they were of an older era.',
      read: () => [{labels: {}, value: eras().dropped}],
    },
    {
      name: 'verbenabeam_accept_wait_seconds',
      help: 'Time that connections of callers wait to be accepted.',
      read: () => [{labels: {}, value: parts.acceptWaitMs() / msPerSecond}],
    },
    {
      name: 'verbenabeam_loop_busy_ratio',
      help: 'Share of the last second in which the event loop was busy.',
      read: () => [{labels: {}, value: parts.busyRatio()}],
    },
    {
      name: 'verbenabeam_long_waits',
      help: 'Calls that waited over 100 ms since the start, by place.',
      labelNames: ['place'],
      read: () =>
        [...parts.waits()].map(([place, value]) => ({labels: {place}, value})),
    },
    {
      name: 'verbenabeam_rollout_share',
      help: 'Share of the traffic that the version of a running rollout gets.',
      labelNames: ['service', 'version'],
      read: () =>
        rollouts().map(({service, version, share}) => ({
          labels: {service, version},
          value: share,
        })),
    },
    {
      name: 'verbenabeam_rollout_calls',
      help: 'Calls that this node sent during a running rollout, by version.',
      labelNames: ['service', 'sent_to'],
      read: () =>
        rollouts().flatMap(({service, sent, sentFresh}) => [
          {labels: {service, sent_to: 'new'}, value: sentFresh},
          {labels: {service, sent_to: 'old'}, value: sent - sentFresh},
        ]),
    },
  ];
}

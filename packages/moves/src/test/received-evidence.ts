import {packEvidence, unpackEvidence} from '../evidence-codec.js';
import {emptyCounts} from '../evidence.js';
import type {Counts, Evidence} from '../evidence.js';
import type {EnabledMechanisms} from './trial-config.js';

/**
 * Evidence as the controller of a trial receives it, without the data of the
 * mechanisms that are turned off.
 *
 * @internal
 */
export function receivedEvidence(
  evidence: Evidence,
  mechanisms: EnabledMechanisms,
): Evidence {
  const received = unpackEvidence(packEvidence(evidence)) as Evidence;
  if (!mechanisms.tests) return withoutOutcomes(received);
  if (mechanisms.crashAttribution) return received;
  const crashes = received.crashes.map(c => ({...c, fingerprints: []}));
  return {...received, crashes};
}

function withoutOutcomes(evidence: Evidence): Evidence {
  const blank = (counts: Counts) => ({...emptyCounts(), calls: counts.calls});
  const cells = evidence.cells.map(c => {
    return {...c, from: blank(c.from), to: blank(c.to)};
  });
  return {...evidence, cells, crashes: []};
}

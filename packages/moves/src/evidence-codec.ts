import * as z from 'zod';
import type {Counts, Evidence, EvidenceCell} from './evidence.js';
import {latencyBinCount} from './latency-bins.js';

/**
 * Compact wire format of {@link Evidence}: arrays instead of objects,
 * and histograms as (bin, count) pairs without zeros.
 *
 * @public
 */
export type PackedEvidence = z.infer<typeof packedSchema>;

const countSchema = z.number().int().nonnegative();
const binSchema = countSchema.max(latencyBinCount - 1);
const countsSchema = z.tuple([
  countSchema,
  countSchema,
  z.array(z.tuple([binSchema, countSchema])).max(latencyBinCount),
]);
/** Larger messages are malformed; each of 53 services has far fewer routes. */
const maxCells = 4096;
const maxCrashes = 256;
const packedSchema = z.tuple([
  z.string().min(1),
  countSchema,
  z
    .array(z.tuple([z.string(), countSchema, countsSchema, countsSchema]))
    .max(maxCells),
  z
    .array(z.tuple([z.string(), z.string(), z.boolean(), z.array(z.string())]))
    .max(maxCrashes),
  z.array(z.string()).max(maxCrashes),
]);

/** Encodes evidence for the wire. @public */
export function packEvidence(evidence: Evidence): PackedEvidence {
  return [
    evidence.moveId,
    evidence.step,
    evidence.cells.map(c => [
      c.route,
      c.level,
      packCounts(c.from),
      packCounts(c.to),
    ]),
    evidence.crashes
      .slice(0, maxCrashes)
      .map(c => [c.crashId, c.route, c.isNew, [...c.fingerprints]]),
    evidence.cleared.slice(0, maxCrashes),
  ];
}

/** Decodes packed evidence; null when the body is malformed. @public */
export function unpackEvidence(body: unknown): Evidence | null {
  const packed = packedSchema.safeParse(body).data;
  if (!packed) return null;
  const [moveId, step, cells, crashes, cleared] = packed;
  return {
    moveId,
    step,
    cells: cells.map(([route, level, from, to]): EvidenceCell => ({
      route,
      level,
      from: unpackCounts(from),
      to: unpackCounts(to),
    })),
    crashes: crashes.map(([crashId, route, isNew, fingerprints]) => ({
      crashId,
      route,
      isNew,
      fingerprints,
    })),
    cleared,
  };
}

function packCounts(counts: Counts): z.infer<typeof countsSchema> {
  const pairs = counts.bins
    .map((count, bin): [number, number] => [bin, count])
    .filter(([, count]) => count > 0);
  return [counts.calls, counts.failures, pairs];
}

function unpackCounts(packed: z.infer<typeof countsSchema>): Counts {
  const [calls, failures, pairs] = packed;
  const bins = new Array<number>(latencyBinCount).fill(0);
  for (const [bin, count] of pairs) bins[bin] = count;
  return {calls, failures, bins};
}

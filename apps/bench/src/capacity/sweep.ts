import {existsSync, readdirSync, readFileSync} from 'node:fs';

/** One figure of a sweep over fleets of several sizes. @public */
export interface SweepFigure {
  readonly name: string;
  /** Middle and busiest node, or middle and longest time, at each size. */
  readonly bySize: readonly (readonly [number, number])[];
  /** The busiest node grows as the number of nodes to this power. */
  readonly power: number;
  /** The busiest node at the size that the sweep extrapolates to. */
  readonly atTarget: number;
}

/** A sweep of the deployed program over fleets of several sizes. @public */
export interface Sweep {
  readonly id: string;
  readonly date: string;
  readonly site: string;
  /** Numbers of nodes that were played. */
  readonly sizes: readonly number[];
  /** Number of nodes for {@link SweepFigure.atTarget}. */
  readonly target: number;
  readonly figures: readonly SweepFigure[];
}

/** The fields of a journal entry that are read here. */
interface JournalEntry {
  readonly id: string;
  /** Begin and end. */
  readonly at: readonly string[];
  readonly cmd: string;
  readonly ok: boolean;
  readonly site: string;
  readonly digest: string;
}

const figureLine =
  /^(.+?)\s{2,}((?:-?[\d.]+ \/ -?[\d.]+\s+)+)(-?[\d.]+)\s+(-?[\d.]+)$/;
const sizesLine = /^\s+((?:\d+\s+)+)power\s+at (\d+)$/;

/**
 * Reads the report of a journal entry; null if it is no finished sweep.
 *
 * @public
 */
export function parseSweep(text: string): Sweep | null {
  const {id, at, cmd, ok, site, digest} = JSON.parse(text) as JournalEntry;
  if (cmd !== 'sweep' || !ok) return null;
  const lines = digest.split('\n');
  const head = lines.map(line => sizesLine.exec(line)).find(Boolean);
  if (!head) return null;
  const sizes = (head[1] ?? '').trim().split(/\s+/).map(Number);
  const figures = lines.flatMap(line => {
    const found = figureLine.exec(line);
    return found ? [figureOf(found)] : [];
  });
  const target = Number(head[2]);
  const date = (at[0] ?? '').slice(0, 'yyyy-mm-dd'.length);
  return {id, date, site, sizes, target, figures};
}

/**
 * The sweep of the largest fleet in the journal, the newest of several.
 *
 * @public
 */
export function readSweep(folder: string): Sweep | null {
  if (!existsSync(folder)) return null;
  const sweeps = readdirSync(folder)
    .filter(file => file.endsWith('.json'))
    .sort()
    .map(file => readFileSync(`${folder}/${file}`, 'utf8'))
    .filter(text => text.includes('"cmd":"sweep"'))
    .map(parseSweep)
    .filter(sweep => sweep !== null);
  const most = Math.max(...sweeps.flatMap(({sizes}) => sizes));
  return sweeps.filter(({sizes}) => sizes.includes(most)).at(-1) ?? null;
}

function figureOf(found: RegExpExecArray): SweepFigure {
  const [, name = '', pairs = '', power, atTarget] = found;
  const bySize = [...pairs.matchAll(/(-?[\d.]+) \/ (-?[\d.]+)/g)].map(
    pair => [Number(pair[1]), Number(pair[2])] as const,
  );
  return {
    name: name.replace(/^\w+: /, ''),
    bySize,
    power: Number(power),
    atTarget: Number(atTarget),
  };
}

import type {CompiledDocument} from './snapshot.js';
import {finish, finishInTurns} from './turns.js';
import type {Pause, Turns} from './turns.js';

/** Kinds of a {@link Change}. @public */
export const CHANGE_KINDS = {
  added: 'added',
  removed: 'removed',
  changed: 'changed',
} as const;

/** One difference between two documents. @public */
export interface Change {
  readonly kind: (typeof CHANGE_KINDS)[keyof typeof CHANGE_KINDS];
  /** The part that differs, for example `route redelivery-file`. */
  readonly subject: string;
  /** One sentence for operators. */
  readonly text: string;
}

type Fields = Readonly<Record<string, string>>;

/** So many parts are described or compared in about 5 ms. */
const partsPerTurn = 500;

/** Lists how document `b` differs from document `a`. @public */
export function diff(
  a: CompiledDocument,
  b: CompiledDocument,
): readonly Change[] {
  return finish(diffSteps(a, b));
}

/**
 * Compares as {@link diff} does, in several turns of the event loop.
 *
 * @param pause - Default: the next turn of the event loop.
 * @public
 */
export function diffInTurns(
  a: CompiledDocument,
  b: CompiledDocument,
  pause?: Pause,
): Promise<readonly Change[]> {
  return finishInTurns(diffSteps(a, b), pause);
}

function* diffSteps(
  a: CompiledDocument,
  b: CompiledDocument,
): Turns<readonly Change[]> {
  const before = yield* describe(a);
  const after = yield* describe(b);
  const subjects = new Set([...before.keys(), ...after.keys()]);
  const changes: Change[] = [];
  let compared = 0;
  for (const subject of subjects) {
    const found = compareSubject(
      subject,
      before.get(subject),
      after.get(subject),
    );
    changes.push(...found);
    if (++compared % partsPerTurn === 0) yield;
  }
  return changes;
}

function compareSubject(
  subject: string,
  before: Fields | undefined,
  after: Fields | undefined,
): readonly Change[] {
  if (!before) {
    const fields = Object.entries(after ?? {}).map(([k, v]) => `${k} ${v}`);
    const text = `${subject} added: ${fields.join(', ')}`;
    return [{kind: CHANGE_KINDS.added, subject, text}];
  }
  if (!after) {
    const text = `${subject} removed`;
    return [{kind: CHANGE_KINDS.removed, subject, text}];
  }
  return Object.keys(after)
    .filter(field => before[field] !== after[field])
    .map(field => ({
      kind: CHANGE_KINDS.changed,
      subject,
      text: `${subject}: ${field} ${before[field]} -> ${after[field]}`,
    }));
}

function* describe(doc: CompiledDocument): Turns<ReadonlyMap<string, Fields>> {
  const parts = new Map<string, Fields>();
  parts.set('policy', {strictness: doc.strictness});
  parts.set('callers', {classes: showList(doc.callerClasses)});
  for (const row of doc.services.values()) {
    const versions = showList(row.versions);
    parts.set(`service ${row.name}`, {versions, current: row.current});
  }
  for (const [i, row] of doc.routes.entries()) {
    if ((i + 1) % partsPerTurn === 0) yield;
    parts.set(`route ${row.name}`, {
      service: row.service.name,
      host: row.host ?? 'any',
      path_prefix: row.pathPrefix,
      methods: row.methods ? showList(row.methods) : 'any',
      idempotent: String(row.idempotent),
      timeout: `${row.timeoutMs}ms`,
      idempotency_key: row.idempotencyKey,
    });
  }
  for (const row of doc.moves) {
    parts.set(`move ${row.id}`, {
      service: row.service.name,
      from: row.from,
      to: row.to,
      start: row.startAt === null ? 'at acceptance' : showTime(row.startAt),
      deadline: showTime(row.deadlineAt),
    });
  }
  return parts;
}

function showList(items: readonly string[]): string {
  return `[${[...items].sort().join(', ')}]`;
}

function showTime(ms: number): string {
  return new Date(ms).toISOString();
}

import {TomlDate} from 'smol-toml';
import * as z from 'zod';
import {STRICTNESS} from './snapshot.js';

/** Names appear in metrics labels, paths and log lines. */
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const hostPattern = /^(?:[A-Za-z0-9][A-Za-z0-9.-]{0,252}|\[[0-9A-Fa-f:.]+\])$/;
const pathPattern = /^\/[^\s?#]*$/;
const methodPattern = /^[A-Z]{1,32}$/;
const durationPattern = /^(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h)$/;

const unitMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};
const defaultTimeoutMs = 2_000;
/** Bounds the number of histogram series of each node. */
const maxCallerClasses = 32;

/** Message of the issue that maps to the code of a wrong unit. @internal */
export const durationMessage = 'expected a duration such as "250ms" or "2s"';

const name = z.string().regex(namePattern, 'expected a name');

const duration = z
  .string()
  .regex(durationPattern, durationMessage)
  .transform(toMilliseconds)
  .refine(ms => ms > 0, durationMessage);

/** An offset date-time as milliseconds since the Unix epoch. */
const instant = z
  .instanceof(TomlDate, {error: 'expected an offset date-time'})
  .refine(date => date.isDateTime() && !date.isLocal(), {
    error: 'expected an offset date-time',
  })
  .transform(date => date.getTime());

const service = z.strictObject({
  versions: z.array(name).min(1),
  current: name,
});

const route = z.strictObject({
  name,
  service: name,
  host: z.string().regex(hostPattern, 'expected a host name').optional(),
  path_prefix: z.string().regex(pathPattern, 'expected a path'),
  methods: z
    .array(z.string().regex(methodPattern, 'expected an upper-case method'))
    .min(1)
    .optional(),
  idempotent: z.boolean().optional(),
  timeout: duration.default(defaultTimeoutMs),
  idempotency_key: z.enum(['required', 'optional']).default('optional'),
});

const move = z.strictObject({
  id: name,
  service: name,
  to: name,
  start: instant.optional(),
  deadline: instant,
});

/** Validator of the parsed TOML, without references. @internal */
export const documentSchema = z.strictObject({
  policy: z
    .strictObject({
      strictness: z.enum(STRICTNESS).default(STRICTNESS.careful),
    })
    .default({strictness: STRICTNESS.careful}),
  callers: z
    .strictObject({classes: z.array(name).max(maxCallerClasses)})
    .default({classes: []}),
  services: z.record(name, service).default({}),
  routes: z.array(route).default([]),
  moves: z.array(move).default([]),
});

/** The checked document before its references are resolved. @internal */
export type ParsedDocument = z.output<typeof documentSchema>;

function toMilliseconds(text: string): number {
  const [, amount = '', unit = ''] = durationPattern.exec(text) ?? [];
  return Number(amount) * (unitMs[unit] ?? Number.NaN);
}

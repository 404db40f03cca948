import * as z from 'zod';

const unitsMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

const durationPattern = /^(\d+)(ms|s|m|h)$/;

/** A duration such as "250ms" or "2s"; the output is in milliseconds. */
export const durationSchema = z
  .string()
  .regex(durationPattern, 'expected a duration such as "250ms", "2s" or "15m"')
  .transform(text => {
    const [, amount, unit] = durationPattern.exec(text) ?? [];
    return Number(amount) * (unitsMs[unit ?? ''] ?? 0);
  });

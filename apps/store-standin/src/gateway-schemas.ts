import * as z from 'zod';

const text = z.string().transform(v => Buffer.from(v, 'base64').toString());
const bytes = z
  .string()
  .default('')
  .transform(v => Uint8Array.from(Buffer.from(v, 'base64')));
const int64 = z
  .union([z.string(), z.number()])
  .default('0')
  .transform(v => Number(v));
const id = z
  .union([z.string(), z.number()])
  .default('0')
  .transform(v => String(v));

/** `range_end` is accepted only as the end of a prefix. @internal */
export const rangeRequest = z.object({
  key: text,
  range_end: z.string().optional(),
});

/** @internal */
export const txnRequest = z.object({
  compare: z
    .array(
      z.object({
        target: z.literal('MOD'),
        result: z.literal('EQUAL'),
        key: text,
        mod_revision: int64,
      }),
    )
    .default([]),
  success: z
    .array(
      z.object({
        request_put: z.object({key: text, value: bytes, lease: id}).optional(),
        request_delete_range: z.object({key: text}).optional(),
      }),
    )
    .default([]),
  failure: z
    .array(z.object({request_range: z.object({key: text}).optional()}))
    .default([]),
});

/** @internal */
export const grantRequest = z.object({TTL: int64});

/** @internal */
export const leaseRequest = z.object({ID: id});

/** @internal */
export const watchRequest = z.object({
  create_request: z.object({
    key: text,
    range_end: z.string().optional(),
    start_revision: int64,
  }),
});

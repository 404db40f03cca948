import * as z from 'zod';
import {versionContentSchema} from './config-content.js';

/** Kind of the request on the wire. @public */
export const CONFIG_PULL = 'config.pull';

/** Validator of {@link ConfigPullRequest}. @public */
export const configPullRequestSchema = z.object({
  environment: z.string(),
  /** What the requester holds; version 0 asks for the full text. */
  have: z.object({version: z.int().nonnegative(), hash: z.string()}),
  /** The answer is `none` unless the peer's version is newer than this. */
  newerThan: z.int().nonnegative(),
});

/** Asks a peer for its version. @public */
export type ConfigPullRequest = Readonly<
  z.output<typeof configPullRequestSchema>
>;

/** Validator of {@link ConfigPullResponse}. @public */
export const configPullResponseSchema = z.discriminatedUnion('status', [
  z.object({status: z.literal('version'), value: versionContentSchema}),
  z.object({status: z.literal('busy'), retryAfterMs: z.number().nonnegative()}),
  z.object({status: z.literal('none')}),
]);

/** The answer to a {@link ConfigPullRequest}. @public */
export type ConfigPullResponse = Readonly<
  z.output<typeof configPullResponseSchema>
>;

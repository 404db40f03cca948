import * as z from 'zod';
import {versionContentSchema} from './config-content.js';

/** Kind of the notice on the wire. @public */
export const CONFIG_PUSH = 'config.push';

const maxMoves = 64;

/** Validator of {@link ConfigPush}. @public */
export const configPushSchema = versionContentSchema.extend({
  /** Node id at the root of the push tree in the receiver's data centre. */
  root: z.string(),
  /** Move records; the moves package checks them. */
  moves: z.array(z.unknown()).max(maxMoves),
});

/** A version sent down a push tree. @public */
export type ConfigPush = Readonly<z.output<typeof configPushSchema>>;

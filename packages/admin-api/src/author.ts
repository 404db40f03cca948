import * as z from 'zod';

/** The store keeps the name with each version, beside up to 1 MB of text. */
const maxAuthorLength = 200;

/** Name of the operator who makes a change. */
export const authorSchema = z.string().min(1).max(maxAuthorLength);

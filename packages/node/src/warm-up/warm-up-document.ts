/** Version of the stub upstream. @internal */
export const warmUpVersion = 'v1';
/** Service of the warm-up calls. @public */
export const warmUpService = 'warm-up';
/** Host header of the warm-up calls. @public */
export const warmUpHost = 'warm-up.invalid';

/** Kinds of calls that a warm-up makes; each has its own route. @public */
export const WARM_UP_KINDS = {
  read: 'read',
  write: 'write',
  upload: 'upload',
} as const;

/** One of the values of {@link WARM_UP_KINDS}. @public */
export type WarmUpKind = (typeof WARM_UP_KINDS)[keyof typeof WARM_UP_KINDS];

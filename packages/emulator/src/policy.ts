/** Parts of the product that a run may leave out, to show what they are worth. @public */
export interface Policy {
  /** Turns calls away at the entry node; default true. */
  readonly throttle: boolean;
  /** Knows callers that return; default true. */
  readonly returning: boolean;
}

/** The product as it is. @public */
export const fullPolicy: Policy = {throttle: true, returning: true};

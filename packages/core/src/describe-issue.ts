/** The part of a schema's error that is described. @public */
export interface SchemaError {
  readonly issues: readonly {
    readonly path: readonly PropertyKey[];
    readonly message: string;
  }[];
}

/**
 * The first fault that a schema found, as `field "a.b": what is wrong`.
 *
 * @public
 */
export function describeIssue({issues}: SchemaError): string {
  const [issue] = issues;
  return `field "${issue?.path.join('.') ?? ''}": ${issue?.message ?? ''}`;
}

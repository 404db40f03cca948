/**
 * One row of the result-code table.
 *
 * @public
 */
export interface ResultCode {
  /** Number that operators and callers see; it never changes its meaning. */
  readonly code: number;
  /** Dotted name, area first, for example `store.unavailable`. */
  readonly name: string;
  /** Exit status of the command line, 0 to 125. */
  readonly exit: number;
  /** HTTP status of an answer that carries this code. */
  readonly http: number;
  /** True when the code promises that the request was not run. */
  readonly notRun: boolean;
  /** One sentence for the table in `docs/RESULT_CODES.md`. */
  readonly text: string;
}

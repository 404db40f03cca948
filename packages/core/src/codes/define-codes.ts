import type {ResultCode} from '../result-code.js';

/** Fields of a code that have a default. @internal */
export type CodeRow = Pick<ResultCode, 'code' | 'text'> &
  Partial<Pick<ResultCode, 'exit' | 'http' | 'notRun'>>;

const defaultExit = 1;
const defaultHttp = 500;

/**
 * Builds the constant object of one area; each name becomes `area.name`.
 *
 * @internal
 */
export function defineCodes<K extends string>(
  area: string,
  rows: Record<K, CodeRow>,
): Record<K, ResultCode> {
  const entries = Object.entries<CodeRow>(rows).map(([name, row]) => [
    name,
    Object.freeze({
      exit: defaultExit,
      http: defaultHttp,
      notRun: false,
      ...row,
      name: `${area}.${name}`,
    }),
  ]);
  return Object.freeze(Object.fromEntries(entries)) as Record<K, ResultCode>;
}

import debug from 'debug';

/**
 * Fields appended to a log line. The names that the structured log uses itself
 * are not allowed, because the value would be lost.
 *
 * @public
 */
export type LogFields = Readonly<Record<string, unknown>> & {
  readonly level?: never;
  readonly msg?: never;
  readonly node?: never;
  readonly part?: never;
  readonly time?: never;
};

/** Writes one short sentence with optional fields. @public */
export type Logger = (sentence: string, fields?: LogFields) => void;

/** Takes the lines of all parts. @public */
export type LogSink = (
  part: string,
  sentence: string,
  fields: LogFields | undefined,
) => void;

let sink: LogSink | null = null;

/**
 * Sends the lines of all parts to a sink, for example a structured log. Without
 * one `DEBUG=verbenabeam:*` prints them.
 *
 * @public
 */
export function setLogSink(next: LogSink | null): void {
  sink = next;
}

/**
 * Creates the logger of one part.
 *
 * @param prefix - Name of the part, for example `gossip`.
 * @public
 */
export function logger(prefix: string): Logger {
  const write = debug(`verbenabeam:${prefix}`);
  return (sentence, fields) => {
    if (sink) sink(prefix, sentence, fields);
    else if (write.enabled) write('%s%s', sentence, formatFields(fields));
  };
}

function formatFields(fields: LogFields | undefined): string {
  if (!fields) return '';
  return Object.entries(fields)
    .map(([key, value]) => ` ${key}=${formatValue(value)}`)
    .join('');
}

function formatValue(value: unknown): string {
  if (typeof value === 'number' || typeof value === 'boolean') {
    return String(value);
  }
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return /[\s"=]/.test(text) ? JSON.stringify(text) : text;
}

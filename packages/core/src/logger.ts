import debug from 'debug';

/** Fields appended to a log line as `key=value`. @public */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one short sentence with optional fields. @public */
export type Logger = (sentence: string, fields?: LogFields) => void;

/**
 * Creates the logger of one part. `DEBUG=verbenabeam:*` turns all parts on.
 *
 * @param prefix - Name of the part, for example `gossip`.
 * @public
 */
export function logger(prefix: string): Logger {
  const write = debug(`verbenabeam:${prefix}`);
  return (sentence, fields) => {
    if (!write.enabled) return;
    write('%s%s', sentence, formatFields(fields));
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

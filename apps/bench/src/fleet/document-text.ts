/** Options of {@link documentText}. @public */
export interface DocumentTextOptions {
  /** Length that the text does not exceed, in bytes. */
  readonly size: number;
  /** Number of services over which the routes are spread. Default 53. */
  readonly services?: number;
  /** Timeout of route 7; another value is a change of one line. */
  readonly timeout?: string;
  /** Part of every route; another value rewrites the whole document. */
  readonly mark?: string;
}

const defaultServices = 53;
const hosts = 50;

/** Name of a service of {@link documentText}. @public */
export function serviceName(index: number): string {
  return `service-${index}`;
}

/** Makes a document of about the given size. @public */
export function documentText(options: DocumentTextOptions): string {
  const {size, services = defaultServices} = options;
  const {timeout = '2s', mark = 'a'} = options;
  const parts = ['[policy]\nstrictness = "careful"\n\n'];
  for (let i = 0; i < services; i++) {
    parts.push(
      `[services.${serviceName(i)}]\nversions = ["v1", "v2"]\ncurrent = "v1"\n\n`,
    );
  }
  let length = parts.join('').length;
  for (let i = 0; ; i++) {
    const part =
      `[[routes]]\nname = "route-${mark}-${i}"\n` +
      `service = "${serviceName(i % services)}"\n` +
      `host = "host-${i % hosts}.internal"\n` +
      `path_prefix = "/${mark}/${i}/files"\nmethods = ["GET"]\n` +
      `timeout = "${i === 7 ? timeout : '2s'}"\n\n`;
    if (length + part.length > size) return parts.join('');
    parts.push(part);
    length += part.length;
  }
}

/** What the document of a test fleet varies. @internal */
export interface DocumentOptions {
  /** Time limit of the read route, which makes versions differ. */
  readonly timeout?: string;
  /** Deadline of a move to v2, in ms since the Unix epoch; default no move. */
  readonly moveBy?: number;
  readonly strictness?: string;
}

/** Service of all instances of a test fleet. @internal */
export const fleetService = 'redelivery';

/** A document with one route for reads and one for keyed writes. @internal */
export function fleetDocument(options: DocumentOptions = {}): string {
  const {timeout = '5s', moveBy, strictness = 'fast'} = options;
  const move = moveBy === undefined ? '' : moveText(moveBy);
  return `
[policy]
strictness = "${strictness}"

[callers]
classes = ["lessor"]

[services.${fleetService}]
versions = ["v1", "v2"]
current = "v1"

[[routes]]
name = "read"
service = "${fleetService}"
path_prefix = "/read"
methods = ["GET"]
timeout = "${timeout}"

[[routes]]
name = "write"
service = "${fleetService}"
path_prefix = "/write"
methods = ["POST"]
timeout = "5s"

[[routes]]
name = "crash"
service = "${fleetService}"
path_prefix = "/crash"
methods = ["GET"]
timeout = "5s"
${move}`;
}

function moveText(deadlineAt: number): string {
  return `
[[moves]]
id = "to-v2"
service = "${fleetService}"
to = "v2"
deadline = ${new Date(deadlineAt).toISOString()}
`;
}

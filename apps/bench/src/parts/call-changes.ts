import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../fleet/fleet.js';
import type {Host} from '../fleet/host.js';

const activeTimeoutMs = 10_000;
/** Services are given out in turn; the fourth node gets that of the first. */
const joiningIndex = 3;

/** Path of the only route of {@link callDocument}. @internal */
export const callUrl = '/read';

/** The document; only the timeout differs between its versions. */
function callDocument(timeout: string): string {
  return `
[policy]
strictness = "careful"

[services.service-1]
versions = ["v1"]
current = "v1"

[[routes]]
name = "read"
service = "service-1"
path_prefix = "${callUrl}"
methods = ["POST"]
idempotent = true
timeout = "${timeout}"
`;
}

/** Versions and members that change while calls are measured. @internal */
export class CallChanges {
  readonly #fleet: Fleet;
  readonly #spare: Host;
  #submits = 0;

  /** @param spare - Process in which nodes join and leave. */
  constructor(fleet: Fleet, spare: Host) {
    this.#fleet = fleet;
    this.#spare = spare;
  }

  /** Submits a new version and waits until it is active everywhere. */
  async submit(): Promise<void> {
    const text = callDocument(`${5 + this.#submits++}s`);
    const {version} = await this.#fleet.submit(text);
    const {missing} = await this.#fleet.awaitVersion(version, activeTimeoutMs);
    if (missing > 0) throw new Error(`version ${version} is not active`);
  }

  /** Spreads a new version, a join and a leave over a window. */
  async run(seconds: number): Promise<void> {
    const quarterMs = seconds * 250;
    await sleep(quarterMs);
    await this.submit();
    await sleep(quarterMs);
    // Service 0 has no route, so that no call is sent to the joining node.
    const node = await this.#fleet.addNode(joiningIndex, this.#spare);
    await sleep(quarterMs);
    await this.#fleet.removeNodes([node]);
  }
}

import {Attempt} from './attempt.js';
import type {AttemptListener} from './attempt.js';
import type {CallHead} from './call-head.js';
import {passedHeaders} from './call-headers.js';
import type {EntryPorts, VersionChoice} from './entry-ports.js';
import type {ReplayBody} from './replay-body.js';
import type {RoutedCall} from './routed-call.js';

/** Chooses version and instance of each attempt of one call. @internal */
export class AttemptFactory {
  readonly #call: RoutedCall;
  readonly #ports: EntryPorts;
  readonly #body: ReplayBody;
  readonly #passed: readonly string[];
  /** Node ids that were tried. */
  readonly #tried = new Set<string>();
  #choice: VersionChoice | null = null;

  constructor(call: RoutedCall, ports: EntryPorts, body: ReplayBody) {
    this.#call = call;
    this.#ports = ports;
    this.#body = body;
    this.#passed = passedHeaders(call.req.rawHeaders);
  }

  /** Version of the last attempt; null before the first. */
  get choice(): VersionChoice | null {
    return this.#choice;
  }

  /**
   * Creates the next attempt; null if no instance that was not tried can take
   * the call.
   *
   * @param passRetries - Takes the retries that go with the attempt.
   */
  next(
    remainingMs: number,
    passRetries: () => number,
    listener: AttemptListener,
  ): Attempt | null {
    const {snapshot, route, callId} = this.#call;
    const {versions, instances} = this.#ports;
    const {service} = route;
    // Asked for each attempt, because a move may have been stopped while the
    // call waited for its claim, its body or an instance.
    this.#choice = versions.choose(snapshot, service, callId, this.#tried);
    const {version} = this.#choice;
    const target = instances.pick(service.name, version, this.#tried);
    if (!target) return null;
    this.#tried.add(target.nodeId);
    const head = this.#head(version, remainingMs, passRetries());
    versions.onSent(service.name, version);
    return new Attempt(this.#ports, target, head, this.#body, listener);
  }

  #head(version: string, remainingMs: number, retriesLeft: number): CallHead {
    const {callId, req, route, headers} = this.#call;
    return {
      callId,
      service: route.service.name,
      version,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      remainingMs,
      depth: headers.depth + 1,
      retriesLeft,
      bodyBytes: headers.bodyBytes,
      headers: this.#passed,
    };
  }
}

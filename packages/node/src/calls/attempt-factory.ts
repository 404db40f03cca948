import {CALL_CODES, MeshError} from '@verbenabeam/core';
import type {Service} from '@verbenabeam/document';
import type {PickLimits} from '@verbenabeam/routing';
import {Attempt} from './attempt.js';
import type {AttemptListener} from './attempt.js';
import type {CallHead} from './call-head.js';
import type {EntryPorts, VersionChoice} from './entry-ports.js';
import type {ReplayBody} from './replay-body.js';
import type {RoutedCall} from './routed-call.js';

/** Chooses the version and the instance for each attempt of one call. @internal */
export class AttemptFactory {
  readonly #call: RoutedCall;
  readonly #ports: EntryPorts;
  readonly #body: ReplayBody;
  readonly #headers: readonly string[];
  /** Ids of the nodes that earlier attempts were sent to. */
  readonly #tried = new Set<string>();
  readonly #service: Service;
  #choice: VersionChoice | null = null;

  constructor(
    call: RoutedCall,
    service: Service,
    ports: EntryPorts,
    body: ReplayBody,
  ) {
    this.#service = service;
    this.#call = call;
    this.#ports = ports;
    this.#body = body;
    this.#headers = ports.protocol.toServing(call.req);
  }

  /** Version chosen for the last attempt; null before the first. */
  get choice(): VersionChoice | null {
    return this.#choice;
  }

  /**
   * Creates the next attempt. Returns null if every instance that could take the
   * call has been tried.
   *
   * @param propagateRetries - Reserves the retries that the attempt may use.
   */
  next(
    remainingMs: number,
    propagateRetries: () => number,
    listener: AttemptListener,
  ): Attempt | null {
    const {snapshot, callId} = this.#call;
    const {versions, instances} = this.#ports;
    const service = this.#service;
    // The version is chosen again for each attempt, because a move may have been
    // stopped while the call waited for its claim, its body or an instance.
    this.#choice = versions.choose(snapshot, service, callId, this.#tried);
    const {version} = this.#choice;
    const target = instances.pick(
      service.name,
      version,
      this.#tried,
      this.#limits(remainingMs),
    );
    if (!target) return null;
    this.#tried.add(target.nodeId);
    const head = this.#head(version, remainingMs, propagateRetries());
    versions.onSent(service.name, version);
    return new Attempt(this.#ports, target, head, this.#body, listener);
  }

  /** The error for a call that no instance is left for. */
  noInstance(): MeshError {
    const {name} = this.#service;
    const version = this.#choice?.version ?? '';
    const message = `No instance of ${name} ${version} can take the call`;
    return new MeshError(CALL_CODES.noInstance, message);
  }

  #limits(remainingMs: number): PickLimits {
    const {name, targetLatencyMs} = this.#call.route;
    return {
      route: name,
      ...(targetLatencyMs === undefined
        ? {}
        : {targetMs: this.#targetMs(remainingMs)}),
      // A retry does not go to an instance that cannot finish it in time.
      ...(this.#tried.size > 0 ? {maxCostMs: remainingMs} : {}),
    };
  }

  /** Time left until the target latency, at most the time until the deadline. */
  #targetMs(remainingMs: number): number {
    const {route, startAt} = this.#call;
    if (route.targetLatencyMs === undefined) return remainingMs;
    const leftMs = startAt + route.targetLatencyMs - performance.now();
    return Math.min(remainingMs, leftMs);
  }

  #head(version: string, remainingMs: number, retriesLeft: number): CallHead {
    const {callId, req, route, headers} = this.#call;
    return {
      callId,
      service: this.#service.name,
      version,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      remainingMs,
      depth: headers.depth + 1,
      retriesLeft,
      routeName: route.name,
      priority: route.priority ?? 0,
      targetMs: this.#targetMs(remainingMs) - this.#call.waitedMs,
      callerClass: headers.callerClass,
      bodyBytes: headers.bodyBytes,
      headers: this.#headers,
    };
  }
}

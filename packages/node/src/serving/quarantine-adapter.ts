import {MeshError, newId} from '@verbenabeam/core';
import type {Clock} from '@verbenabeam/core';
import {CrashQuarantine, crashNoticeSchema} from '@verbenabeam/routing';
import type {CrashNotice} from '@verbenabeam/routing';
import type {PeerBus} from '@verbenabeam/wire';
import type {LostRequest, QuarantinePort} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';

const noticeKind = 'crash.notice';

/** Options of {@link QuarantineAdapter}. @internal */
export interface QuarantineAdapterOptions {
  readonly membership: MembershipService;
  readonly bus: PeerBus;
  readonly clock: Clock;
}

/**
 * Refuses requests that are suspected of crashing the upstream, and shares their
 * fingerprints with the other nodes of the same service and environment.
 */
export class QuarantineAdapter implements QuarantinePort {
  readonly #options: QuarantineAdapterOptions;
  readonly #quarantine = new CrashQuarantine();

  constructor(options: QuarantineAdapterOptions) {
    this.#options = options;
  }

  get active(): boolean {
    const {suspects, quarantined} = this.#quarantine.sizes();
    return suspects + quarantined > 0;
  }

  /** Subscribes to the crash notices of other nodes. */
  start(): void {
    this.#options.bus.onNotice(noticeKind, body => {
      const parsed = crashNoticeSchema.safeParse(body);
      if (!parsed.success) return;
      this.#send(this.#quarantine.receive(parsed.data, this.#now()));
    });
  }

  admit(callId: string, fingerprint: string): MeshError | null {
    const decision = this.#quarantine.tryStart(
      callId,
      fingerprint,
      this.#now(),
    );
    if (decision.kind === 'allowed') return null;
    return new MeshError(decision.code, decision.code.text, {fingerprint});
  }

  ended(callId: string, complete: boolean): void {
    const notice = this.#quarantine.finish(callId, complete, this.#now());
    if (notice) this.#send([notice]);
  }

  crashed(lost: readonly LostRequest[]): void {
    // Adds the lost requests to the calls in flight, except those that `tryStart`
    // refuses. The crash makes the fingerprints in flight suspects or quarantines
    // them.
    for (const {callId, fingerprint} of lost) {
      this.#quarantine.tryStart(callId, fingerprint, this.#now());
    }
    const crashId = newId();
    this.#send(this.#quarantine.crashed(crashId, this.#now()));
  }

  #now(): number {
    return this.#options.clock.now();
  }

  /** Sends notices to the other nodes of the same service and environment. */
  #send(notices: readonly CrashNotice[]): void {
    if (notices.length === 0) return;
    const {membership, bus} = this.#options;
    const {nodeId, environment, upstream} = membership.own;
    for (const row of membership.live()) {
      const isPeer =
        row.nodeId !== nodeId &&
        row.environment === environment &&
        row.upstream?.service === upstream?.service;
      if (!isPeer) continue;
      for (const notice of notices) bus.notify(row.address, noticeKind, notice);
    }
  }
}

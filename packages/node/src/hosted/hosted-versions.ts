import type {Service, Snapshot} from '@verbenabeam/document';
import type {
  StoppedVersions,
  VersionChoice,
  VersionChooser,
} from '../calls/index.js';
import type {MembershipService} from '../membership/membership-service.js';
import type {Rollouts} from './rollouts.js';

/** Chooses the upstream version of a call from the rollouts. @internal */
export class HostedVersions implements VersionChooser, StoppedVersions {
  readonly #membership: MembershipService;
  readonly #rollouts: Rollouts;

  constructor(membership: MembershipService, rollouts: Rollouts) {
    this.#membership = membership;
    this.#rollouts = rollouts;
  }

  choose(
    _snapshot: Snapshot,
    service: Service,
    _callId: string,
    exclude: ReadonlySet<string>,
  ): VersionChoice {
    const versions = this.#membership.versions(service.name, exclude);
    const isRetry = exclude.size > 0;
    const version = this.#rollouts.choose(service.name, versions, isRetry);
    return {version: version ?? '', moveId: null};
  }

  onSent(service: string, version: string): void {
    this.#rollouts.onSent(service, version);
  }

  isStopped(service: string, version: string): boolean {
    return this.#rollouts.isStopped(service, version);
  }
}

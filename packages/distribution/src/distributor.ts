import {Result} from 'true-myth';
import {VERSION_CODES} from '@verbenabeam/core';
import type {MeshError, RandomSource} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import {decodeContent, isLasting, isUnusable} from './decode-content.js';
import type {DistributorOptions, FleetView} from './distributor-options.js';
import type {Effect} from './effect.js';
import type {FullTextCap} from './full-text-cap.js';
import type {VersionContent} from './messages/config-content.js';
import type {ConfigDigest} from './messages/config-digest.js';
import type {
  ConfigPullRequest,
  ConfigPullResponse,
} from './messages/config-pull.js';
import type {ConfigPush} from './messages/config-push.js';
import {Puller} from './puller.js';
import type {PushPlanner} from './push-planner.js';
import {PushSender} from './push-sender.js';
import {describe, fullText, RecentVersions} from './recent-versions.js';
import {StartInquiry} from './start-inquiry.js';
import type {Candidate, VersionTracker} from './version-tracker.js';

/**
 * Distribution on one node, without I/O: takes messages and times, returns the
 * effects that the driver carries out.
 *
 * @public
 */
export class Distributor {
  readonly #tracker: VersionTracker;
  readonly #planner: PushPlanner;
  readonly #cap: FullTextCap;
  readonly #random: RandomSource;
  readonly #recent = new RecentVersions();
  readonly #sender: PushSender;
  readonly #puller = new Puller();
  readonly #inquiry = new StartInquiry();
  #ready = false;
  #highestSeen = 0;
  /** Version of a large push that is being compiled; 0 if there is none. */
  #compiling = 0;

  constructor(options: DistributorOptions) {
    this.#tracker = options.tracker;
    this.#planner = options.planner;
    this.#cap = options.cap;
    this.#random = options.random;
    this.#sender = new PushSender(
      options.planner,
      this.#recent,
      options.random,
    );
  }

  /** True once the node may serve calls; it stays true. */
  get ready(): boolean {
    return this.#ready;
  }

  get digest(): ConfigDigest {
    return this.#tracker.digest;
  }

  /** Length of the active text; 0 after an empty start. */
  get activeCharacters(): number {
    return this.#tracker.current?.document.text.length ?? 0;
  }

  /** Null until the start inquiry is complete. */
  get fleetView(): FleetView | null {
    const known = this.#ready || this.#inquiry.isComplete(this.#planner.peers);
    if (!known) return null;
    const version = Math.max(this.#highestSeen, this.digest.version);
    return {version, active: this.digest};
  }

  /** Takes a push; forwards it once for each root. */
  onPush(from: string, push: ConfigPush, now: number): readonly Effect[] {
    if (push.environment !== this.digest.environment) return [];
    if (push.version === this.#compiling) this.#compiling = 0;
    const effects: Effect[] = [];
    if (push.moves.length > 0) effects.push({type: 'moves', moves: push.moves});
    effects.push(...this.#takePush(from, push, now));
    const {version, hash} = this.digest;
    const isOld =
      push.version < version ||
      (push.version === version && push.hash !== hash);
    if (isOld) return effects;
    return [...effects, ...this.#sender.forward(push), ...this.#pullIfDue(now)];
  }

  /**
   * Takes a push whose document is compiled in several turns before
   * {@link onPush} gets it. It is forwarded at once, so that a deep tree does
   * not wait for one compiler after the other, and it is not pulled meanwhile.
   */
  onLargePush(push: ConfigPush, now: number): readonly Effect[] {
    const {environment, version} = this.digest;
    if (push.environment !== environment || push.version <= version) return [];
    this.#see(push.version);
    this.#compiling = Math.max(this.#compiling, push.version);
    this.#puller.hold(now);
    return this.#sender.forward(push);
  }

  /** True if this version, or a newer one, is active or being compiled. */
  holds(version: number): boolean {
    return Math.max(this.digest.version, this.#compiling) >= version;
  }

  /** Returns the text of a newer version, or null if there is none to apply. */
  textOf(value: VersionContent): string | null {
    const {environment, version} = this.digest;
    if (value.environment !== environment || value.version <= version) {
      return null;
    }
    return decodeContent(value.content, this.#tracker.current).unwrapOr(null);
  }

  /** Takes the digest on a probe or probe response. */
  onDigest(from: string, seen: ConfigDigest, now: number): readonly Effect[] {
    if (seen.environment !== this.digest.environment) return [];
    this.#inquiry.peerShows(from, seen);
    this.#see(seen.version);
    if (seen.version > 0) this.#tracker.observePeer(seen);
    if (seen.version > this.digest.version) this.#puller.noteNewer(from, seen);
    this.#updateReady();
    return this.#pullIfDue(now);
  }

  /** A peer did not respond to a question for its digest. */
  onDigestFailed(from: string): void {
    this.#inquiry.peerFailed(from);
    this.#updateReady();
  }

  /** Answers a peer that asks for a newer version. */
  onPullRequest(req: ConfigPullRequest, now: number): ConfigPullResponse {
    const active = this.#tracker.current;
    const isNewer = active !== null && active.version > req.newerThan;
    if (!isNewer || req.environment !== active.environment) {
      return {status: 'none'};
    }
    const small = this.#recent.deltaFrom(req.have);
    if (small) return {status: 'version', value: describe(active, small)};
    const retryAfterMs = this.#cap.tryServe(now, this.#random);
    if (retryAfterMs > 0) return {status: 'busy', retryAfterMs};
    return {status: 'version', value: describe(active, fullText(active))};
  }

  /** Takes the answer to a pull. */
  onPullResponse(res: ConfigPullResponse, now: number): readonly Effect[] {
    if (res.status === 'busy') this.#puller.busy(res.retryAfterMs, now);
    if (res.status === 'none') this.#puller.failed();
    if (res.status !== 'version') return [];
    this.#puller.done();
    const applied = this.#apply(res.value, now);
    if (applied.isErr && isUnusable(applied.error)) {
      this.#puller.deltaUnusable();
    }
    return [...effectsOf(applied), ...this.#pullIfDue(now)];
  }

  /** A pull got no response. */
  onPullFailed(): void {
    this.#puller.failed();
  }

  /**
   * Takes the store's head; null means that it has none. A head that is not
   * newer is compared and never followed.
   */
  onStoreHead(head: {version: number; hash: string} | null): readonly Effect[] {
    const seen = head ?? {version: 0, hash: ''};
    this.#inquiry.storeShows(seen);
    this.#see(seen.version);
    this.#tracker.observeStoreHead(head);
    this.#updateReady();
    if (seen.version <= this.digest.version) return [];
    return [{type: 'readVersion', version: seen.version}];
  }

  /** The store did not respond to a read of its head. */
  onStoreFailed(): void {
    this.#inquiry.storeFailed();
    this.#updateReady();
  }

  /** Takes a version that was read from the store. A relay also pushes it. */
  onStoreVersion(
    candidate: Candidate,
    isRelay: boolean,
    now: number,
  ): readonly Effect[] {
    const applied = this.#offer(candidate, now);
    if (!isRelay || applied.isErr) return effectsOf(applied);
    return [...effectsOf(applied), ...this.#sender.asRoot(applied.value)];
  }

  /**
   * Takes a version that this node's operator got accepted, and pushes it.
   * Error 1204: the fleet has another text under this number, because the store
   * was restored; the accepted text does not become active.
   */
  onAccepted(
    candidate: Candidate,
    now: number,
  ): Result<readonly Effect[], MeshError> {
    const applied = this.#offer(candidate, now);
    if (applied.isErr && applied.error.code === VERSION_CODES.hashMismatch) {
      return Result.err(applied.error);
    }
    const {version, hash} = candidate;
    this.#tracker.confirmAccepted({version, hash});
    // A newer version may have arrived while the store's response was awaited.
    if (applied.isErr) return Result.ok([]);
    return Result.ok([
      ...effectsOf(applied),
      ...this.#sender.asRoot(applied.value),
      ...this.#sender.toOtherCentres(applied.value),
    ]);
  }

  /** Repeats pulls and, on a starting node, questions. */
  tick(now: number): readonly Effect[] {
    const {peers} = this.#planner;
    const questions = this.#ready
      ? []
      : this.#inquiry.questions(peers, this.digest, this.#random, now);
    return [...questions, ...this.#pullIfDue(now)];
  }

  #takePush(from: string, push: ConfigPush, now: number): readonly Effect[] {
    this.#see(push.version);
    if (push.version <= this.digest.version) {
      this.#tracker.observePeer(push);
      return [];
    }
    const applied = this.#apply(push, now);
    if (applied.isErr && isUnusable(applied.error)) {
      this.#puller.noteNewer(from, push);
    }
    return effectsOf(applied);
  }

  #apply(value: VersionContent, now: number): Result<Snapshot, MeshError> {
    return decodeContent(value.content, this.#tracker.current).andThen(text => {
      const {environment, version, hash, acceptedAt} = value;
      const candidate = {environment, version, hash, acceptedAt, text};
      return this.#offer(candidate, now);
    });
  }

  #offer(candidate: Candidate, now: number): Result<Snapshot, MeshError> {
    this.#see(candidate.version);
    const offered = this.#tracker.offer(candidate, now);
    if (offered.isOk) this.#onSwap(offered.value);
    else if (isLasting(offered.error)) {
      this.#puller.refused(candidate.version, candidate.hash, now);
    }
    return offered;
  }

  #onSwap(snapshot: Snapshot): void {
    this.#recent.add(snapshot);
    this.#sender.onActive(snapshot.version);
    this.#updateReady();
  }

  #updateReady(): void {
    if (this.#ready || this.digest.version === 0) return;
    const isComplete = this.#inquiry.isComplete(this.#planner.peers);
    const isHighest = this.digest.version >= this.#inquiry.highest;
    this.#ready = isComplete && isHighest;
  }

  #pullIfDue(now: number): readonly Effect[] {
    const pull = this.#puller.next(this.digest, now);
    return pull ? [{type: 'pull', ...pull}] : [];
  }

  #see(version: number): void {
    this.#highestSeen = Math.max(this.#highestSeen, version);
  }
}

function effectsOf(applied: Result<Snapshot, MeshError>): readonly Effect[] {
  return applied.isOk ? [{type: 'applied', snapshot: applied.value}] : [];
}

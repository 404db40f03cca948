import {Result} from 'true-myth';
import {INVARIANT_CODES, MeshError, VERSION_CODES} from '@verbenabeam/core';
import type {Invariants, ResultCode} from '@verbenabeam/core';
import {canonicalHash, compile} from '@verbenabeam/document';
import type {CompiledDocument, Snapshot} from '@verbenabeam/document';
import type {ConfigDigest} from './messages/config-digest.js';

/** A version that a peer, the store or an operator offers. @public */
export interface Candidate {
  readonly environment: string;
  readonly version: number;
  readonly hash: string;
  /** Milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  readonly text: string;
}

/** What a node reports about its configuration. @public */
export interface TrackerStatus {
  readonly version: number;
  readonly hash: string;
  /** Calendar time of the last swap in milliseconds; 0 if there was none. */
  readonly appliedAt: number;
  /** Last refusal that operators must look at; cleared by the next swap. */
  readonly problem: MeshError | null;
}

type Version = Pick<ConfigDigest, 'version' | 'hash'>;

const nothing: Version = {version: 0, hash: ''};

/**
 * Holds the current snapshot of an environment and is the only place where it
 * is replaced.
 *
 * @public
 */
export class VersionTracker {
  readonly #environment: string;
  readonly #invariants: Invariants;
  readonly #compiler: typeof compile;
  #current: Snapshot | null = null;
  #appliedAt = 0;
  #problem: MeshError | null = null;
  #accepted: Version = nothing;

  /** @param compiler - Tests replace it to break the guarantees. */
  constructor(
    environment: string,
    invariants: Invariants,
    compiler: typeof compile = compile,
  ) {
    this.#environment = environment;
    this.#invariants = invariants;
    this.#compiler = compiler;
  }

  /** The complete active version, or null after an empty start. */
  get current(): Snapshot | null {
    return this.#current;
  }

  /** The active version as peers see it. */
  get digest(): ConfigDigest {
    const {version, hash} = this.#current ?? nothing;
    return {environment: this.#environment, version, hash};
  }

  get status(): TrackerStatus {
    const {version, hash} = this.digest;
    const [appliedAt, problem] = [this.#appliedAt, this.#problem];
    return {version, hash, appliedAt, problem};
  }

  /**
   * Applies a newer version completely or refuses it. Errors: 1201, 1203, 1204,
   * 1206, 1207.
   *
   * @param now - Calendar time in milliseconds.
   */
  offer(candidate: Candidate, now: number): Result<Snapshot, MeshError> {
    return this.#admit(candidate)
      .andThen(() => this.#compile(candidate))
      .map(document => this.#swap(candidate, document, now));
  }

  /**
   * Compares the store's head with the active version. Ok means that the head
   * may be followed. Errors: 1204, 1205.
   */
  observeStoreHead(head: Version | null): Result<Version, MeshError> {
    const seen = head ?? nothing;
    const {version, hash} = this.digest;
    if (seen.version < version) {
      const details = {store: seen.version, active: version};
      return Result.err(this.#report(VERSION_CODES.storeOlder, details));
    }
    if (seen.version === version && seen.hash !== hash) {
      return Result.err(this.#conflict(seen));
    }
    return Result.ok(seen);
  }

  /** Compares a peer's version with the active one. Error: 1204. */
  observePeer(seen: Version): Result<Version, MeshError> {
    const {version, hash} = this.digest;
    if (seen.version === version && seen.hash !== hash) {
      return Result.err(this.#conflict(seen));
    }
    return Result.ok(seen);
  }

  /** Notes a version that acceptance wrote; from then on it must not revert. */
  confirmAccepted(accepted: Version): void {
    if (accepted.version > this.#accepted.version) this.#accepted = accepted;
    this.#checkAccepted();
  }

  #admit(candidate: Candidate): Result<Candidate, MeshError> {
    const {environment, version, hash} = candidate;
    const active = this.digest;
    if (environment !== this.#environment) {
      return Result.err(refuse(VERSION_CODES.otherEnvironment, {environment}));
    }
    if (version === active.version && hash !== active.hash) {
      return Result.err(this.#conflict(candidate));
    }
    if (version <= active.version) {
      const details = {offered: version, active: active.version};
      return Result.err(refuse(VERSION_CODES.notNewer, details));
    }
    return Result.ok(candidate);
  }

  #compile(candidate: Candidate): Result<CompiledDocument, MeshError> {
    const {version, hash} = candidate;
    return this.#compiler(candidate.text)
      .mapErr(err => {
        const cause = err.code.code;
        const details = {version, cause, reason: err.message};
        return this.#report(VERSION_CODES.cannotCompile, details);
      })
      .andThen(document => {
        if (document.hash === hash) {
          return Result.ok<CompiledDocument, MeshError>(document);
        }
        const details = {version, announced: hash, compiled: document.hash};
        const err = this.#report(VERSION_CODES.textMismatch, details);
        return Result.err<CompiledDocument, MeshError>(err);
      });
  }

  #swap(
    candidate: Candidate,
    document: CompiledDocument,
    now: number,
  ): Snapshot {
    const {environment, version, hash, acceptedAt} = candidate;
    const next = {environment, version, hash, acceptedAt, document};
    this.#checkNext(next);
    this.#current = Object.freeze(next);
    this.#appliedAt = now;
    this.#problem = null;
    this.#checkAccepted();
    return next;
  }

  #checkNext(next: Snapshot): void {
    const {version, hash, document} = next;
    const active = this.digest.version;
    const check = this.#invariants.check.bind(this.#invariants);
    check(INVARIANT_CODES.versionWentBack, version > active, {version, active});
    const rows = [...document.routes, ...document.moves];
    const dangling = rows.find(
      row => document.services.get(row.service.name) !== row.service,
    );
    const service = dangling?.service.name;
    check(INVARIANT_CODES.danglingRoute, !dangling, {version, service});
    const actual = canonicalHash(document);
    const whole = actual === hash && document.hash === hash;
    check(INVARIANT_CODES.partialVersion, whole, {version, hash, actual});
  }

  /** An accepted version stays active or is followed by a newer one. */
  #checkAccepted(): void {
    const {version, hash} = this.digest;
    const accepted = this.#accepted;
    const sameVersion = version === accepted.version;
    const holds = sameVersion
      ? hash === accepted.hash
      : version > accepted.version;
    const details = {version, accepted: accepted.version};
    this.#invariants.check(INVARIANT_CODES.revertedVersion, holds, details);
  }

  #conflict({version, hash}: Version): MeshError {
    const details = {version, offered: hash, active: this.digest.hash};
    return this.#report(VERSION_CODES.hashMismatch, details);
  }

  #report(code: ResultCode, details: Record<string, unknown>): MeshError {
    this.#problem = refuse(code, details);
    return this.#problem;
  }
}

function refuse(code: ResultCode, details: Record<string, unknown>): MeshError {
  return new MeshError(code, code.text, details);
}

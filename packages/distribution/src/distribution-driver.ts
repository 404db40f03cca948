import {Result} from 'true-myth';
import {logger} from '@verbenabeam/core';
import type {Clock, MeshError} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import type {Entry, Store} from '@verbenabeam/store';
import type {Accepted} from './acceptance.js';
import type {CompileAhead} from './compile-ahead.js';
import type {Distributor} from './distributor.js';
import type {Effect} from './effect.js';
import type {VersionContent} from './messages/config-content.js';
import {configDigestSchema} from './messages/config-digest.js';
import type {ConfigDigest} from './messages/config-digest.js';
import {
  configPullRequestSchema,
  configPullResponseSchema,
} from './messages/config-pull.js';
import type {
  ConfigPullRequest,
  ConfigPullResponse,
} from './messages/config-pull.js';
import {configPushSchema} from './messages/config-push.js';
import type {ConfigPush} from './messages/config-push.js';
import {parseMessage} from './messages/parse-message.js';
import {STORE_KEYS} from './store-keys.js';
import {decodeJson, decodeVersion, headRecordSchema} from './store-records.js';

/** Sends messages to nodes by their id. @public */
export interface DistributionSender {
  push(to: string, message: ConfigPush): void;
  pull(
    to: string,
    message: ConfigPullRequest,
  ): Promise<Result<unknown, MeshError>>;
  /** Asks a peer for its digest. */
  askDigest(
    to: string,
    message: ConfigDigest,
  ): Promise<Result<unknown, MeshError>>;
}

/** Parts of a {@link DistributionDriver}. @public */
export interface DistributionDriverOptions {
  readonly environment: string;
  readonly distributor: Distributor;
  readonly sender: DistributionSender;
  readonly store: Store;
  readonly clock: Clock;
  /** Compiles large documents; the tracker of the distributor uses it too. */
  readonly ahead: CompileAhead;
  /** True while this node holds a relay slot. */
  readonly isRelay: () => boolean;
  /**
   * Waits before a relay reads a newer version. The push of the
   * node that accepted it usually arrives first, which saves the read and a
   * second push tree. Default: no wait.
   */
  readonly beforeRelayRead?: () => Promise<unknown>;
  /** A version became active. */
  readonly onApplied?: (snapshot: Snapshot) => void;
  /** Move records arrived with a push. */
  readonly onMoves?: (moves: readonly unknown[]) => void;
}

type Handler<T extends Effect['type']> = (
  effect: Extract<Effect, {type: T}>,
) => Promise<void> | void;

const log = logger('distribution');

/** Carries out the effects of a {@link Distributor}. @public */
export class DistributionDriver {
  readonly #options: DistributionDriverOptions;
  readonly #handlers: {readonly [T in Effect['type']]: Handler<T>};

  constructor(options: DistributionDriverOptions) {
    this.#options = options;
    const {sender, onApplied, onMoves} = options;
    this.#handlers = {
      push: ({to, message}) => sender.push(to, message),
      pull: effect => this.#pull(effect),
      askDigest: effect => this.#askDigest(effect),
      readHead: () => this.readHead(),
      readVersion: effect => this.#readVersion(effect),
      applied: ({snapshot}) => onApplied?.(snapshot),
      moves: ({moves}) => onMoves?.(moves),
    };
  }

  /** Handles a `config.push` notice. */
  handlePush(from: string, body: unknown): Result<true, MeshError> {
    return parseMessage(configPushSchema, body).map(push => {
      const take = () =>
        this.#run(this.#distributor.onPush(from, push, this.#now()));
      if (!this.#isLarge(push)) take();
      else {
        this.#run(this.#distributor.onLargePush(push, this.#now()));
        void this.#compileAhead(push).then(take);
      }
      return true as const;
    });
  }

  /** Handles a `config.pull` request. */
  handlePull(body: unknown): Result<ConfigPullResponse, MeshError> {
    return parseMessage(configPullRequestSchema, body).map(req =>
      this.#distributor.onPullRequest(req, this.#now()),
    );
  }

  /** Handles the digest on a probe or probe response; returns the own one. */
  handleDigest(from: string, body: unknown): Result<ConfigDigest, MeshError> {
    return parseMessage(configDigestSchema, body).map(seen => {
      this.#run(this.#distributor.onDigest(from, seen, this.#now()));
      return this.#distributor.digest;
    });
  }

  /** Activates and pushes a change that acceptance wrote. Error: 1204. */
  handleAccepted(accepted: Accepted): Result<true, MeshError> {
    const {document, ...rest} = accepted.snapshot;
    this.#options.ahead.keep(document);
    const candidate = {...rest, text: document.text};
    return this.#distributor.onAccepted(candidate, this.#now()).map(effects => {
      this.#run(effects);
      return true as const;
    });
  }

  /** Reads the store's head. */
  async readHead(): Promise<void> {
    const key = STORE_KEYS.head(this.#options.environment);
    const got = await this.#options.store.get(key);
    if (got.isOk) this.handleHead(got.value);
    else this.#distributor.onStoreFailed();
  }

  /** Handles a head entry that was read or watched. */
  handleHead(entry: Entry | null): void {
    const head: Result<{version: number; hash: string} | null, MeshError> =
      entry ? decodeJson(entry, headRecordSchema) : Result.ok(null);
    if (head.isErr) return logFailure('The head cannot be read', head.error);
    this.#run(this.#distributor.onStoreHead(head.value));
  }

  /** Call about every 500 ms. */
  tick(): void {
    this.#run(this.#distributor.tick(this.#now()));
  }

  get #distributor(): Distributor {
    return this.#options.distributor;
  }

  #now(): number {
    return this.#options.clock.wallTime();
  }

  #run(effects: readonly Effect[]): void {
    for (const effect of effects) {
      const handler = this.#handlers[effect.type] as Handler<Effect['type']>;
      void handler(effect);
    }
  }

  async #pull({to, message}: Extract<Effect, {type: 'pull'}>): Promise<void> {
    const got = await this.#options.sender.pull(to, message);
    const res = got.andThen(body =>
      parseMessage(configPullResponseSchema, body),
    );
    if (res.isErr) {
      logFailure('A pull failed', res.error);
      this.#distributor.onPullFailed();
      return;
    }
    const answer = res.value;
    if (answer.status === 'version' && this.#isLarge(answer.value)) {
      await this.#compileAhead(answer.value);
    }
    this.#run(this.#distributor.onPullResponse(answer, this.#now()));
  }

  #isLarge({content}: VersionContent): boolean {
    const {ahead, distributor} = this.#options;
    const characters =
      'text' in content ? content.text.length : distributor.activeCharacters;
    return ahead.isLarge(characters);
  }

  /** Does nothing for a version that cannot be applied; its fault shows later. */
  async #compileAhead(value: VersionContent): Promise<void> {
    const text = this.#distributor.textOf(value);
    if (text !== null) await this.#options.ahead.prepare(text);
  }

  async #askDigest({
    to,
    message,
  }: Extract<Effect, {type: 'askDigest'}>): Promise<void> {
    const got = await this.#options.sender.askDigest(to, message);
    const seen = got.andThen(body => parseMessage(configDigestSchema, body));
    if (seen.isErr) this.#distributor.onDigestFailed(to);
    else this.#run(this.#distributor.onDigest(to, seen.value, this.#now()));
  }

  async #readVersion({
    version,
  }: Extract<Effect, {type: 'readVersion'}>): Promise<void> {
    const {environment, store, isRelay, beforeRelayRead, ahead} = this.#options;
    if (isRelay()) await beforeRelayRead?.();
    if (this.#distributor.holds(version)) return;
    const got = await store.get(STORE_KEYS.version(environment, version));
    const record = got.andThen(entry =>
      entry ? decodeVersion(entry) : Result.ok(null),
    );
    if (record.isErr) {
      return logFailure('A version cannot be read', record.error);
    }
    if (!record.value) return;
    const {metadata, text} = record.value;
    const {hash, acceptedAt} = metadata;
    await ahead.prepare(text);
    const candidate = {environment, version, hash, acceptedAt, text};
    const now = this.#now();
    this.#run(this.#distributor.onStoreVersion(candidate, isRelay(), now));
  }
}

function logFailure(sentence: string, err: MeshError): void {
  log(sentence, {code: err.code.code, reason: err.message});
}

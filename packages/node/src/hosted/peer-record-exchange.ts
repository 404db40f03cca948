import {logger} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import {
  eraOf,
  positionFields,
  revisionOf,
  systemSleep,
} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import type {MembershipService} from '../membership/membership-service.js';
import type {OperatorRecord, OperatorRecords} from './operator-records.js';
import {packedRecords, unpackRecords} from './packed-record.js';
import {
  answerPull,
  NEWER_NOTICE,
  newerNoticeOf,
  probeConfigOf,
  PULL_REQUEST,
  pullRequestOf,
  readNewerNotice,
  readProbeConfig,
} from './record-messages.js';
import {RECORD_SOURCES} from './record-progress.js';
import type {RecordProgress} from './record-progress.js';

const pullTimeoutMs = 1_500;
/** Pulls that may fail in a row, each from another peer. */
const maxFailedPulls = 3;
/** The watch of this node usually delivers a change within this time. */
const watchHeadStartMs = 150;
/** Peers in the same data centre usually have a change within this time. */
const localHeadStartMs = 100;
/** Spreads the pulls of a data centre in which no peer has the change, in ms. */
const localJitterMs = 100;
/** Peers to which a node announces a change; each announces it to as many. */
const fanOut = 4;
/** Peers in other data centres to which a node announces records of the store. */
const remoteFanOut = 1;
/**
 * Time after which what a build without eras announced should have come from a node
 * that knows them, in ms.
 */
const plainWaitMs = 1_000;

/** Dependencies of a {@link PeerRecordExchange}. @internal */
export interface PeerRecordExchangeOptions {
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly progress: RecordProgress;
  /** Whether this node watches the store itself. */
  readonly isWatching: () => boolean;
  /** Called when a peer did not deliver the announced records. */
  readonly onUnavailable: () => void;
  /** Called when a peer has answered with all that this node lacked at its start. */
  readonly onComplete?: () => void;
}

const log = logger('config');

/**
 * Exchanges the operators' records between nodes. It serves nodes that do not watch
 * the store, nodes that the store refuses, and nodes whose watch is silent.
 *
 * @internal
 */
export class PeerRecordExchange {
  readonly #options: PeerRecordExchangeOptions;
  /** Highest revision that peers announced, and those peers. */
  #announced = {revision: 0, announcers: new Set<string>()};
  /** Highest positions that peers announced, by node id, in eras above 0. */
  readonly #heard = new Map<string, number>();
  /** Peers that announced no era though the store tells one: other builds. */
  readonly #plain = new Set<string>();
  /** Highest revision that builds without eras announced. */
  #heardPlain = 0;
  #isComplete = false;
  #isPulling = false;
  /** Ends the wait for a peer in the same data centre. */
  #localPeerWait = new AbortController();

  constructor(options: PeerRecordExchangeOptions) {
    this.#options = options;
  }

  start(): void {
    const {bus, membership, records} = this.#options;
    bus.onRequest(PULL_REQUEST, body => Result.ok(answerPull(records, body)));
    bus.onNotice(NEWER_NOTICE, (body, peer) => {
      const revision = readNewerNotice(body);
      if (revision !== null) this.#onAnnounced(peer.nodeId, revision);
    });
    membership.gossip.onPeerConfig(({nodeId}, {version, hash}) => {
      this.#onAnnounced(nodeId, readProbeConfig(version, hash));
    });
  }

  /** Whether a peer has answered with all that this node lacked at its start. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Announces records from the store to some peers. */
  announce(): void {
    this.#announceRevision(remoteFanOut);
  }

  /** Announces the revision to peers in this data centre and to some in others. */
  #announceRevision(minRemote: number): void {
    const {bus, membership, records, random} = this.#options;
    membership.gossip.setConfig(...probeConfigOf(records.revision));
    this.#forgetFormerPeers();
    const peers = random.shuffle(this.#peers());
    const local = peers.filter(row => this.#isLocal(row)).slice(0, fanOut);
    const remote = peers.filter(row => !this.#isLocal(row));
    const remoteCount = Math.max(minRemote, fanOut - local.length);
    for (const row of [...local, ...remote.slice(0, remoteCount)]) {
      const notice = newerNoticeOf(
        records.revision,
        !this.#plain.has(row.nodeId),
      );
      bus.notify(row.address, NEWER_NOTICE, notice);
    }
  }

  #forgetFormerPeers(): void {
    const live = new Set(this.#peers().map(({nodeId}) => nodeId));
    for (const known of [this.#heard, this.#plain]) {
      for (const nodeId of known.keys()) {
        if (!live.has(nodeId)) known.delete(nodeId);
      }
    }
  }

  #peers(): InstanceRecord[] {
    const {membership} = this.#options;
    const own = membership.own.nodeId;
    return membership.live().filter(({nodeId}) => nodeId !== own);
  }

  #isLocal({dataCentre}: InstanceRecord): boolean {
    return dataCentre === this.#options.membership.own.dataCentre;
  }

  #onAnnounced(nodeId: string, revision: number): void {
    const {progress, records} = this.#options;
    const era = eraOf(revision);
    if (era > 0) {
      this.#heard.set(nodeId, revision);
      this.#plain.delete(nodeId);
    } else if (revision > 0 && eraOf(records.revision) > 0) {
      this.#plain.add(nodeId);
      void this.#onPlain(revision);
    }
    progress.onAnnounced(revision, records.revision);
    if (revision > this.#announced.revision) {
      this.#announced = {revision, announcers: new Set()};
    }
    if (!this.#isBehind) return;
    if (revision === this.#announced.revision)
      this.#announced.announcers.add(nodeId);
    if (this.#isPulling) {
      if (this.#holders().some(row => this.#isLocal(row)))
        this.#localPeerWait.abort();
      return;
    }
    this.#isPulling = true;
    void this.#pullUntilCurrent();
  }

  get #isBehind(): boolean {
    const {revision} = this.#announced;
    if (revision > this.#options.records.revision) return true;
    return this.#isFirstPull;
  }

  /**
   * Whether this node has yet to ask a peer for all that it lacks. After a new era
   * began, peers may hold more than the store that a starting node has read.
   */
  get #isFirstPull(): boolean {
    return !this.#isComplete && eraOf(this.#announced.revision) > 0;
  }

  /** A build without eras cannot pass on what it holds; the store can. */
  async #onPlain(revision: number): Promise<void> {
    if (revision <= this.#heardPlain) return;
    this.#heardPlain = revision;
    const {records, signal, onUnavailable} = this.#options;
    await systemSleep(plainWaitMs, signal);
    if (!signal.aborted && revisionOf(records.revision) < revision) {
      onUnavailable();
    }
  }

  /** Pulls from peers until this node holds the announced revision. */
  async #pullUntilCurrent(): Promise<void> {
    const {isWatching, onUnavailable, signal} = this.#options;
    if (isWatching()) await systemSleep(watchHeadStartMs, signal);
    const failed = new Set<string>();
    while (this.#isBehind && failed.size < maxFailedPulls && !signal.aborted) {
      if (failed.size === 0) await this.#waitForLocalPeer();
      if (!this.#isBehind) break;
      const nodeId = this.#choosePeer(failed);
      if (nodeId === null) break;
      if (await this.#pull(nodeId)) failed.clear();
      else {
        if (failed.size === 0 && this.#isBehind) onUnavailable();
        failed.add(nodeId);
      }
    }
    this.#isPulling = false;
  }

  /** Waits briefly until a peer in the same data centre has the revision. */
  async #waitForLocalPeer(): Promise<void> {
    const {isWatching, random, signal} = this.#options;
    const hasLocal = this.#holders().some(row => this.#isLocal(row));
    const mayHaveLocal = this.#peers().some(row => this.#isLocal(row));
    if (isWatching() || hasLocal || !mayHaveLocal || this.#isFirstPull) return;
    this.#localPeerWait = new AbortController();
    const wait = AbortSignal.any([signal, this.#localPeerWait.signal]);
    const waitMs = localHeadStartMs + random.float() * localJitterMs;
    await systemSleep(waitMs, wait);
  }

  /** Peers that are known to hold the announced revision. */
  #holders(): InstanceRecord[] {
    const {revision, announcers} = this.#announced;
    return this.#peers().filter(
      ({nodeId, configVersion}) =>
        announcers.has(nodeId) ||
        (this.#heard.get(nodeId) ?? configVersion) >= revision,
    );
  }

  /** Prefers local peers with the revision, then remote ones, then any peer. */
  #choosePeer(failed: ReadonlySet<string>): string | null {
    const isUntried = ({nodeId}: InstanceRecord) => !failed.has(nodeId);
    const holders = this.#holders().filter(isUntried);
    const local = holders.filter(row => this.#isLocal(row));
    const others = this.#peers().filter(isUntried);
    const candidates = [local, holders, others].find(({length}) => length > 0);
    return candidates ? this.#options.random.pick(candidates).nodeId : null;
  }

  /** Returns whether the peer had new records. */
  async #pull(nodeId: string): Promise<boolean> {
    const {bus, membership, records, progress} = this.#options;
    const startAt = performance.now();
    const since = records.revision;
    const address = membership.addressOf(nodeId);
    if (address === undefined) return false;
    const isFirst = this.#isFirstPull;
    const answer = await bus.request(
      address,
      PULL_REQUEST,
      pullRequestOf(records, isFirst),
      {timeoutMs: pullTimeoutMs},
    );
    const ms = performance.now() - startAt;
    const received = decodeAnswer(answer.unwrapOr(null));
    if (received) progress.onReceived(RECORD_SOURCES.peer, received, ms);
    const isNew = received !== null && records.offer(received);
    if (isFirst && received) {
      this.#isComplete = true;
      this.#options.onComplete?.();
    }
    if (isNew) this.#announceRevision(0);
    else if (records.revision <= since && this.#isBehind) {
      const {revision} = this.#announced;
      log('Peer had no newer records.', {
        nodeId,
        since: revisionOf(since),
        ...positionFields(revision),
        ms: Math.round(ms),
        reason: answer.isErr ? answer.error.message : 'none are newer',
      });
    }
    return isNew;
  }
}

/** Null if the answer cannot be decoded. */
function decodeAnswer(answer: unknown): readonly OperatorRecord[] | null {
  const parsed = packedRecords.safeParse(answer);
  if (!parsed.success) return null;
  try {
    return unpackRecords(parsed.data);
  } catch (err) {
    log('Records of a peer cannot be decompressed.', {err: String(err)});
    return null;
  }
}

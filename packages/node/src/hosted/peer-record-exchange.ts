import {logger} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {InstanceRecord} from '@verbenabeam/membership';
import {systemSleep} from '@verbenabeam/store';
import type {PeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import * as z from 'zod';
import type {MembershipService} from '../membership/membership-service.js';
import type {OperatorRecord, OperatorRecords} from './operator-records.js';
import {packedRecords, packRecord, unpackRecords} from './packed-record.js';
import {RECORD_SOURCES} from './record-progress.js';
import type {RecordProgress} from './record-progress.js';

const newerNotice = 'records.newer';
const pullRequest = 'records.pull';
const pullTimeoutMs = 1_500;
/** Peers that are asked in a row without success. */
const maxFailedPulls = 3;
/** The own watch usually brings a change within this time. */
const watchHeadStartMs = 150;
/** Peers of the own data centre usually have a change within this time. */
const localHeadStartMs = 100;
/** Spreads the nodes of a data centre in which no peer has it, in ms. */
const localJitterMs = 100;
/** Peers that a node tells of a change; each tells as many again. */
const fanOut = 4;
/** Peers of other data centres that a node with records of the store tells. */
const remoteFanOut = 1;

const pullSchema = z.object({since: z.number().nonnegative()});

/** Parts of {@link PeerRecordExchange}. @internal */
export interface PeerRecordExchangeOptions {
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly progress: RecordProgress;
  /** Whether this node follows the store itself. */
  readonly isWatching: () => boolean;
  /** Called when a peer did not give the records that one told of. */
  readonly onUnavailable: () => void;
}

const log = logger('config');

/**
 * Exchanges the operators' records between nodes, for nodes that do not follow
 * the store, that it turns away, or whose watch is silent.
 *
 * @internal
 */
export class PeerRecordExchange {
  readonly #options: PeerRecordExchangeOptions;
  /** Highest revision that peers told of, and those peers. */
  #announced = {revision: 0, announcers: new Set<string>()};
  #isPulling = false;
  /** Ends the wait for a peer of the own data centre. */
  #localPeerWait = new AbortController();

  constructor(options: PeerRecordExchangeOptions) {
    this.#options = options;
  }

  start(): void {
    const {bus, membership, records} = this.#options;
    bus.onRequest(pullRequest, body => {
      const parsed = pullSchema.safeParse(body);
      const since = parsed.success ? parsed.data.since : 0;
      return Result.ok(records.since(since).map(packRecord));
    });
    bus.onNotice(newerNotice, (body, peer) => {
      if (typeof body === 'number') this.#onAnnounced(peer.nodeId, body);
    });
    membership.gossip.onPeerConfig(({nodeId}, {version}) => {
      this.#onAnnounced(nodeId, version);
    });
  }

  /** Tells some peers of records that came from the store. */
  announce(): void {
    this.#announceTo(remoteFanOut);
  }

  /** Tells peers of the own data centre, and some of others. */
  #announceTo(minRemote: number): void {
    const {bus, membership, records, random} = this.#options;
    membership.gossip.setConfig(records.revision, '');
    const peers = random.shuffle(this.#peers());
    const local = peers.filter(row => this.#isLocal(row)).slice(0, fanOut);
    const remote = peers.filter(row => !this.#isLocal(row));
    const remoteCount = Math.max(minRemote, fanOut - local.length);
    for (const {address} of [...local, ...remote.slice(0, remoteCount)]) {
      bus.notify(address, newerNotice, records.revision);
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
    return this.#announced.revision > this.#options.records.revision;
  }

  /** Asks peers until this node holds what they told of. */
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

  /** Waits a little for a peer of the own data centre that has the revision. */
  async #waitForLocalPeer(): Promise<void> {
    const {isWatching, random, signal} = this.#options;
    const hasLocal = this.#holders().some(row => this.#isLocal(row));
    const mayHaveLocal = this.#peers().some(row => this.#isLocal(row));
    if (isWatching() || hasLocal || !mayHaveLocal) return;
    this.#localPeerWait = new AbortController();
    const wait = AbortSignal.any([signal, this.#localPeerWait.signal]);
    const waitMs = localHeadStartMs + random.float() * localJitterMs;
    await systemSleep(waitMs, wait);
  }

  /** Peers that are known to hold the revision that was told of. */
  #holders(): InstanceRecord[] {
    const {revision, announcers} = this.#announced;
    return this.#peers().filter(
      ({nodeId, configVersion}) =>
        announcers.has(nodeId) || configVersion >= revision,
    );
  }

  /** A peer that holds the revision, of the own data centre if there is one. */
  #choosePeer(failed: ReadonlySet<string>): string | null {
    const isUntried = ({nodeId}: InstanceRecord) => !failed.has(nodeId);
    const holders = this.#holders().filter(isUntried);
    const local = holders.filter(row => this.#isLocal(row));
    const others = this.#peers().filter(isUntried);
    const candidates = [local, holders, others].find(({length}) => length > 0);
    return candidates ? this.#options.random.pick(candidates).nodeId : null;
  }

  /** Returns whether the peer had something new. */
  async #pull(nodeId: string): Promise<boolean> {
    const {bus, membership, records, progress} = this.#options;
    const startAt = performance.now();
    const since = records.revision;
    const address = membership.addressOf(nodeId);
    if (address === undefined) return false;
    const answer = await bus.request(
      address,
      pullRequest,
      {since},
      {timeoutMs: pullTimeoutMs},
    );
    const ms = performance.now() - startAt;
    const received = decodeAnswer(answer.unwrapOr(null));
    if (received) progress.onReceived(RECORD_SOURCES.peer, received, ms);
    const isNew = received !== null && records.offer(received);
    if (isNew) this.#announceTo(0);
    else if (records.revision <= since) {
      const {revision} = this.#announced;
      log('Peer gave no records.', {
        nodeId,
        since,
        revision,
        ms: Math.round(ms),
        reason: answer.isErr ? answer.error.message : 'none are newer',
      });
    }
    return isNew;
  }
}

/** Null if the answer cannot be read. */
function decodeAnswer(answer: unknown): readonly OperatorRecord[] | null {
  const parsed = packedRecords.safeParse(answer);
  if (!parsed.success) return null;
  try {
    return unpackRecords(parsed.data);
  } catch (err) {
    log('Records of a peer cannot be unpacked.', {err: String(err)});
    return null;
  }
}

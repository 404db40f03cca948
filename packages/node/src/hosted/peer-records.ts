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

const newerKind = 'records.newer';
const pullKind = 'records.pull';
const pullTimeoutMs = 1_500;
/** Peers that are asked in a row without success. */
const maxPulls = 3;
/** The own watch usually brings a change within this time. */
const watchLeadMs = 150;
/** Peers of the own data centre usually have a change within this time. */
const nearLeadMs = 100;
/** Spreads the nodes of a data centre in which no peer has it, in ms. */
const nearSpreadMs = 100;
/** Peers that a node tells of a change; each tells as many again. */
const fanOut = 4;
/** Peers of other data centres that a node with records of the store tells. */
const farFanOut = 1;

const pullSchema = z.object({since: z.number().nonnegative()});

/** Parts of {@link PeerRecords}. @internal */
export interface PeerRecordsOptions {
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  readonly random: RandomSource;
  readonly signal: AbortSignal;
  readonly progress: RecordProgress;
  /** Whether this node follows the store itself. */
  readonly isFollowing: () => boolean;
  /** Called when a peer did not give the records that one told of. */
  readonly onMissing: () => void;
}

const log = logger('config');

/**
 * Exchanges the operators' records between nodes, for nodes that do not follow
 * the store, that it turns away, or whose watch is silent.
 *
 * @internal
 */
export class PeerRecords {
  readonly #options: PeerRecordsOptions;
  /** Highest revision that peers told of, and those peers. */
  #heard = {revision: 0, tellers: new Set<string>()};
  #isPulling = false;
  /** Ends the wait for a peer of the own data centre. */
  #nearWait = new AbortController();

  constructor(options: PeerRecordsOptions) {
    this.#options = options;
  }

  start(): void {
    const {bus, membership, records} = this.#options;
    bus.onRequest(pullKind, body => {
      const parsed = pullSchema.safeParse(body);
      const since = parsed.success ? parsed.data.since : 0;
      return Result.ok(records.since(since).map(packRecord));
    });
    bus.onNotice(newerKind, (body, peer) => {
      if (typeof body === 'number') this.#onSeen(peer.nodeId, body);
    });
    membership.gossip.onPeerConfig(({nodeId}, {version}) => {
      this.#onSeen(nodeId, version);
    });
  }

  /** Tells some peers of records that came from the store. */
  announce(): void {
    this.#tell(farFanOut);
  }

  /** Tells peers of the own data centre, and some of others. */
  #tell(leastFar: number): void {
    const {bus, membership, records, random} = this.#options;
    membership.gossip.setConfig(records.revision, '');
    const peers = random.shuffle(this.#peers());
    const near = peers.filter(row => this.#isNear(row)).slice(0, fanOut);
    const far = peers.filter(row => !this.#isNear(row));
    const farCount = Math.max(leastFar, fanOut - near.length);
    for (const {address} of [...near, ...far.slice(0, farCount)]) {
      bus.notify(address, newerKind, records.revision);
    }
  }

  #peers(): InstanceRecord[] {
    const {membership} = this.#options;
    const own = membership.own.nodeId;
    return membership.live().filter(({nodeId}) => nodeId !== own);
  }

  #isNear({dataCentre}: InstanceRecord): boolean {
    return dataCentre === this.#options.membership.own.dataCentre;
  }

  #onSeen(nodeId: string, revision: number): void {
    const {progress, records} = this.#options;
    progress.heard(revision, records.revision);
    if (revision > this.#heard.revision) {
      this.#heard = {revision, tellers: new Set()};
    }
    if (!this.#isMissing) return;
    if (revision === this.#heard.revision) this.#heard.tellers.add(nodeId);
    if (this.#isPulling) {
      if (this.#holders().some(row => this.#isNear(row)))
        this.#nearWait.abort();
      return;
    }
    this.#isPulling = true;
    void this.#pullAll();
  }

  get #isMissing(): boolean {
    return this.#heard.revision > this.#options.records.revision;
  }

  /** Asks peers until this node holds what they told of. */
  async #pullAll(): Promise<void> {
    const {isFollowing, onMissing, signal} = this.#options;
    if (isFollowing()) await systemSleep(watchLeadMs, signal);
    const failed = new Set<string>();
    while (this.#isMissing && failed.size < maxPulls && !signal.aborted) {
      if (failed.size === 0) await this.#awaitNear();
      if (!this.#isMissing) break;
      const nodeId = this.#source(failed);
      if (nodeId === null) break;
      if (await this.#pull(nodeId)) failed.clear();
      else {
        if (failed.size === 0 && this.#isMissing) onMissing();
        failed.add(nodeId);
      }
    }
    this.#isPulling = false;
  }

  /** Waits a little for a peer of the own data centre that has the revision. */
  async #awaitNear(): Promise<void> {
    const {isFollowing, random, signal} = this.#options;
    const hasNear = this.#holders().some(row => this.#isNear(row));
    const canBeNear = this.#peers().some(row => this.#isNear(row));
    if (isFollowing() || hasNear || !canBeNear) return;
    this.#nearWait = new AbortController();
    const wait = AbortSignal.any([signal, this.#nearWait.signal]);
    const waitMs = nearLeadMs + random.float() * nearSpreadMs;
    await systemSleep(waitMs, wait);
  }

  /** Peers that are known to hold the revision that was told of. */
  #holders(): InstanceRecord[] {
    const {revision, tellers} = this.#heard;
    return this.#peers().filter(
      ({nodeId, configVersion}) =>
        tellers.has(nodeId) || configVersion >= revision,
    );
  }

  /** A peer that holds the revision, of the own data centre if there is one. */
  #source(failed: ReadonlySet<string>): string | null {
    const isLeft = ({nodeId}: InstanceRecord) => !failed.has(nodeId);
    const holders = this.#holders().filter(isLeft);
    const near = holders.filter(row => this.#isNear(row));
    const others = this.#peers().filter(isLeft);
    const sources = [near, holders, others].find(({length}) => length > 0);
    return sources ? this.#options.random.pick(sources).nodeId : null;
  }

  /** Returns whether the peer had something new. */
  async #pull(nodeId: string): Promise<boolean> {
    const {bus, membership, records, progress} = this.#options;
    const startAt = performance.now();
    const since = records.revision;
    const address = membership.addressOf(nodeId);
    if (address === undefined) return false;
    const got = await bus.request(
      address,
      pullKind,
      {since},
      {timeoutMs: pullTimeoutMs},
    );
    const ms = performance.now() - startAt;
    const found = unpackAll(got.unwrapOr(null));
    if (found) progress.came(RECORD_SOURCES.peer, found, ms);
    const isNew = found !== null && records.offer(found);
    if (isNew) this.#tell(0);
    else if (records.revision <= since) {
      const {revision} = this.#heard;
      log('Peer gave no records.', {
        nodeId,
        since,
        revision,
        ms: Math.round(ms),
        reason: got.isErr ? got.error.message : 'none are newer',
      });
    }
    return isNew;
  }
}

/** Null if the answer cannot be read. */
function unpackAll(answer: unknown): readonly OperatorRecord[] | null {
  const parsed = packedRecords.safeParse(answer);
  if (!parsed.success) return null;
  try {
    return unpackRecords(parsed.data);
  } catch (err) {
    log('Records of a peer cannot be unpacked.', {err: String(err)});
    return null;
  }
}

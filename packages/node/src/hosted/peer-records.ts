import {logger} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
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
/** Peers that a node tells of a change; each tells as many again. */
const fanOut = 3;

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
  /** Called when a peer's records were taken over. */
  readonly onNewer: () => void;
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
  /** Highest revision that a peer told of, and that peer. */
  #heard = {revision: 0, nodeId: ''};
  #isPulling = false;

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

  /** Tells some peers which revision this node has. */
  announce(): void {
    const {bus, membership, records, random} = this.#options;
    membership.gossip.setConfig(records.revision, '');
    const own = membership.own.nodeId;
    const peers = membership.live().filter(({nodeId}) => nodeId !== own);
    for (const {address} of random.shuffle(peers).slice(0, fanOut)) {
      bus.notify(address, newerKind, records.revision);
    }
  }

  #onSeen(nodeId: string, revision: number): void {
    const {progress, records} = this.#options;
    progress.heard(revision, records.revision);
    if (revision > this.#heard.revision) this.#heard = {revision, nodeId};
    if (!this.#isMissing || this.#isPulling) return;
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

  /** The peer that told of the revision, then others, first those that hold it. */
  #source(failed: ReadonlySet<string>): string | null {
    const {nodeId, revision} = this.#heard;
    if (!failed.has(nodeId)) return nodeId;
    const {membership, random} = this.#options;
    const own = membership.own.nodeId;
    const others = membership
      .live()
      .filter(row => row.nodeId !== own && !failed.has(row.nodeId));
    const holders = others.filter(row => row.configVersion >= revision);
    const sources = holders.length > 0 ? holders : others;
    return sources.length > 0 ? random.pick(sources).nodeId : null;
  }

  /** Returns whether the peer had something new. */
  async #pull(nodeId: string): Promise<boolean> {
    const {bus, membership, records, progress, onNewer} = this.#options;
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
    if (isNew) onNewer();
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

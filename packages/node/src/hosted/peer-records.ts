import {logger} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import type {PeerBus} from '@verbenabeam/wire';
import {Result} from 'true-myth';
import * as z from 'zod';
import type {MembershipService} from '../membership/membership-service.js';
import type {OperatorRecords} from './operator-records.js';
import {RECORD_SOURCES} from './record-watch.js';
import type {RecordWatch} from './record-watch.js';

const newerKind = 'records.newer';
const pullKind = 'records.pull';
const pullTimeoutMs = 1_500;
/** The own watch usually brings a change within this time. */
const watchLeadMs = 150;
/** Peers that a node tells of a change; each tells as many again. */
const fanOut = 3;

const pullSchema = z.object({since: z.number().nonnegative()});
const recordsSchema = z.array(
  z.object({
    key: z.string(),
    revision: z.number(),
    value: z.instanceof(Uint8Array),
  }),
);

/** Parts of {@link PeerRecords}. @internal */
export interface PeerRecordsOptions {
  readonly bus: PeerBus;
  readonly membership: MembershipService;
  readonly records: OperatorRecords;
  readonly random: RandomSource;
  readonly watch: RecordWatch;
  /** Called when a peer's records were taken over. */
  readonly onNewer: () => void;
}

const log = logger('config');

/**
 * Exchanges the operators' records between nodes, for nodes that the store
 * turns away or whose watch is silent.
 *
 * @internal
 */
export class PeerRecords {
  readonly #options: PeerRecordsOptions;
  #pulling = false;

  constructor(options: PeerRecordsOptions) {
    this.#options = options;
  }

  start(): void {
    const {bus, membership, records} = this.#options;
    bus.onRequest(pullKind, body => {
      const parsed = pullSchema.safeParse(body);
      const since = parsed.success ? parsed.data.since : 0;
      return Result.ok(records.since(since));
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
    this.#options.watch.heard(revision, this.#options.records.revision);
    if (revision <= this.#options.records.revision || this.#pulling) return;
    this.#pulling = true;
    setTimeout(() => void this.#pull(nodeId, revision), watchLeadMs).unref();
  }

  async #pull(nodeId: string, revision: number): Promise<void> {
    const {bus, membership, records, watch, onNewer} = this.#options;
    const startAt = performance.now();
    const since = records.revision;
    const address = membership.addressOf(nodeId);
    if (revision > since && address !== undefined) {
      const got = await bus.request(
        address,
        pullKind,
        {since},
        {timeoutMs: pullTimeoutMs},
      );
      const parsed = recordsSchema.safeParse(got.unwrapOr(null));
      if (parsed.success) {
        const ms = performance.now() - startAt;
        watch.came(RECORD_SOURCES.peer, parsed.data, ms);
        if (records.offer(parsed.data)) onNewer();
      } else {
        const ms = Math.round(performance.now() - startAt);
        log('Peer gave no records.', {nodeId, since, revision, ms});
      }
    }
    this.#pulling = false;
  }
}

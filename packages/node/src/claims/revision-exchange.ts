import * as z from 'zod';
import type {StoreRevisions} from '@verbenabeam/store';
import type {RevisionView} from '@verbenabeam/store';
import {runPeriodically} from '../run-periodically.js';
import type {NodeContext} from '../node-context.js';

const noticeKind = 'claim.store';
const intervalMs = 1_000;
/** Number of random peers that get a notice each second, as in gossip. */
const fanOut = 2;

const viewSchema = z.object({
  epoch: z.number().min(0),
  highest: z.number().min(0),
  wentBack: z.boolean(),
});
const carrierSchema = z.object({store: viewSchema});

/** Dependencies of {@link RevisionExchange}. @internal */
export type RevisionExchangeOptions = Pick<
  NodeContext,
  'membership' | 'bus' | 'random' | 'signal' | 'clock'
>;

/**
 * Shares the highest known store revision with the nodes of the environment: in
 * each claim message, and in one notice per second while the revision changes. A
 * new owner of a partition can then detect a restored store that lacks claims of
 * the previous owner.
 *
 * @internal
 */
export class RevisionExchange {
  readonly #options: RevisionExchangeOptions;
  readonly #revisions: StoreRevisions;
  #lastSent: RevisionView;

  constructor(options: RevisionExchangeOptions, revisions: StoreRevisions) {
    this.#options = options;
    this.#revisions = revisions;
    this.#lastSent = revisions.view;
  }

  get wentBack(): boolean {
    return this.#revisions.view.wentBack;
  }

  start(): void {
    const {bus, signal} = this.#options;
    bus.onNotice(noticeKind, body => this.take({store: body}));
    runPeriodically(intervalMs, signal, () => this.#notifyPeers());
  }

  /** Adds the revisions known to this node to a claim message. */
  attach<T extends object>(message: T): T & {store: RevisionView} {
    return {...message, store: this.#revisions.view};
  }

  /**
   * Merges the revisions in the message of a peer; ignores messages without
   * them.
   */
  take(message: unknown): void {
    const parsed = carrierSchema.safeParse(message);
    if (parsed.success) this.#revisions.merge(parsed.data.store);
  }

  /** Accepts the current state of the store, on request of an operator. */
  confirm(): void {
    this.#revisions.confirm(this.#options.clock.wallTime());
  }

  #notifyPeers(): void {
    const {view} = this.#revisions;
    if (view === this.#lastSent && !view.wentBack) return;
    this.#lastSent = view;
    const {membership, bus, random} = this.#options;
    const {own} = membership;
    const peers = membership
      .live()
      .filter(
        row => row.environment === own.environment && row.nodeId !== own.nodeId,
      );
    for (const {address} of random.shuffle(peers).slice(0, fanOut)) {
      bus.notify(address, noticeKind, view);
    }
  }
}

import * as z from 'zod';
import type {StoreRevisions} from '@verbenabeam/store';
import type {RevisionView} from '@verbenabeam/store';
import {runPeriodically} from '../run-periodically.js';
import type {NodeContext} from '../node-context.js';

const noticeKind = 'claim.store';
const intervalMs = 1_000;
/** Peers that are told of a change each second, as in gossip. */
const fanOut = 2;

const viewSchema = z.object({
  epoch: z.number().min(0),
  highest: z.number().min(0),
  wentBack: z.boolean(),
});
const carrierSchema = z.object({store: viewSchema});

/** Parts of a {@link RevisionExchange}. @internal */
export type RevisionExchangeOptions = Pick<
  NodeContext,
  'membership' | 'bus' | 'random' | 'signal' | 'clock'
>;

/**
 * Shares the highest revision of the store with the nodes of the environment:
 * on each claim message, and by a notice a second while it changes. A new owner
 * of a partition then notices a store that lacks claims of the owner before.
 *
 * @internal
 */
export class RevisionExchange {
  readonly #options: RevisionExchangeOptions;
  readonly #revisions: StoreRevisions;
  #told: RevisionView;

  constructor(options: RevisionExchangeOptions, revisions: StoreRevisions) {
    this.#options = options;
    this.#revisions = revisions;
    this.#told = revisions.view;
  }

  get wentBack(): boolean {
    return this.#revisions.view.wentBack;
  }

  start(): void {
    const {bus, signal} = this.#options;
    bus.onNotice(noticeKind, body => this.take({store: body}));
    runPeriodically(intervalMs, signal, () => this.#tell());
  }

  /** Adds the own view to a claim message. */
  attach<T extends object>(message: T): T & {store: RevisionView} {
    return {...message, store: this.#revisions.view};
  }

  /** Reads the view of the peer that sent a message; others are ignored. */
  take(message: unknown): void {
    const parsed = carrierSchema.safeParse(message);
    if (parsed.success) this.#revisions.merge(parsed.data.store);
  }

  /** Accepts the state of the store on an operator's demand. */
  confirm(): void {
    this.#revisions.confirm(this.#options.clock.wallTime());
  }

  #tell(): void {
    const {view} = this.#revisions;
    if (view === this.#told && !view.wentBack) return;
    this.#told = view;
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

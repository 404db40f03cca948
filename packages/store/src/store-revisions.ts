/** What nodes tell each other about the revisions of one store. @public */
export interface RevisionView {
  /** Calendar time of the last confirmation in milliseconds; 0 for none. */
  readonly epoch: number;
  /** Highest revision that a response of the store showed since then. */
  readonly highest: number;
  /** Whether the store showed a revision below one that it had shown before. */
  readonly wentBack: boolean;
}

/**
 * Notices a store that was restored to an older state. A response must show at
 * least the revision that was known when its request was sent; responses may
 * overtake each other, so the highest known revision at their arrival is no
 * bound. Once the store went back, that stays until an operator confirms it.
 *
 * @public
 */
export class StoreRevisions {
  #view: RevisionView = {epoch: 0, highest: 0, wentBack: false};

  /** What this node knows; it bounds the response to a request sent now. */
  get view(): RevisionView {
    return this.#view;
  }

  /**
   * Takes the revision of a response.
   *
   * @param sent - The view when the request was sent.
   */
  observe(sent: RevisionView, revision: number): void {
    const {epoch} = sent;
    if (revision === 0) return;
    this.merge({epoch, highest: revision, wentBack: revision < sent.highest});
  }

  /** Takes the view of a peer; a later confirmation replaces the own view. */
  merge(other: RevisionView): void {
    const {epoch, highest, wentBack} = this.#view;
    if (other.epoch < epoch) return;
    if (other.epoch > epoch) {
      this.#view = other;
      return;
    }
    this.#view = {
      epoch,
      highest: Math.max(highest, other.highest),
      wentBack: wentBack || other.wentBack,
    };
  }

  /**
   * Accepts the state of the store as it is now.
   *
   * @param now - Calendar time in milliseconds.
   */
  confirm(now: number): void {
    const epoch = Math.max(now, this.#view.epoch + 1);
    this.#view = {epoch, highest: 0, wentBack: false};
  }
}

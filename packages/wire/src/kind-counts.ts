/** Bytes sent on control connections, by the kind of message. @internal */
export class KindCounts {
  readonly #sent = new Map<string, number>();

  add(kind: string, bytes: number): void {
    this.#sent.set(kind, (this.#sent.get(kind) ?? 0) + bytes);
  }

  /** Totals since the start. */
  totals(): Record<string, number> {
    return Object.fromEntries(this.#sent);
  }
}

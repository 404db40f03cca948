/** Counts attempts in flight by service and version. @internal */
export class InFlightByVersion {
  readonly #counts = new Map<string, number>();

  began(service: string, version: string): void {
    const key = keyOf(service, version);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
  }

  ended(service: string, version: string): void {
    const key = keyOf(service, version);
    const left = (this.#counts.get(key) ?? 1) - 1;
    if (left > 0) this.#counts.set(key, left);
    else this.#counts.delete(key);
  }

  count(service: string, version: string): number {
    return this.#counts.get(keyOf(service, version)) ?? 0;
  }
}

function keyOf(service: string, version: string): string {
  return `${service}\n${version}`;
}

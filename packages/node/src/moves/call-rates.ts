const msPerSecond = 1_000;
/** Weight of the newest second in the smoothed rate. */
const weight = 0.2;

interface Rate {
  calls: number;
  totalMs: number;
  perSecond: number;
  serviceMs: number;
}

/** Smoothed calls per second and time per call of each service. @internal */
export class CallRates {
  readonly #rates = new Map<string, Rate>();
  #rolledAt = 0;

  record(service: string, durationMs: number): void {
    const rate = this.#rateOf(service);
    rate.calls += 1;
    rate.totalMs += durationMs;
  }

  /** Called about once a second. */
  roll(now: number): void {
    const seconds = Math.max(1, (now - this.#rolledAt) / msPerSecond);
    this.#rolledAt = now;
    for (const rate of this.#rates.values()) {
      rate.perSecond += weight * (rate.calls / seconds - rate.perSecond);
      if (rate.calls > 0) {
        const mean = rate.totalMs / rate.calls;
        rate.serviceMs += weight * (mean - rate.serviceMs);
      }
      rate.calls = 0;
      rate.totalMs = 0;
    }
  }

  callsPerSecond(service: string): number {
    return this.#rates.get(service)?.perSecond ?? 0;
  }

  /** Smoothed time of a call in milliseconds. */
  serviceMs(service: string): number {
    return this.#rates.get(service)?.serviceMs ?? 0;
  }

  /** Forgets services that the configuration no longer names. */
  retain(services: ReadonlySet<string>): void {
    for (const service of this.#rates.keys()) {
      if (!services.has(service)) this.#rates.delete(service);
    }
  }

  #rateOf(service: string): Rate {
    const known = this.#rates.get(service);
    if (known) return known;
    const created = {calls: 0, totalMs: 0, perSecond: 0, serviceMs: 0};
    this.#rates.set(service, created);
    return created;
  }
}

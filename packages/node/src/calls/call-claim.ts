import {beginClaim} from './claim-action.js';
import type {ClaimAction} from './claim-action.js';
import type {ClaimKey, ClaimResult, ClaimsPort} from './entry-ports.js';
import type {RoutedCall} from './routed-call.js';

/** The claim of one call with an idempotency key. @internal */
export class CallClaim {
  readonly #claims: ClaimsPort;
  readonly #key: ClaimKey;
  #granted = false;

  constructor(claims: ClaimsPort, call: RoutedCall, key: string) {
    const {snapshot, route, headers, callId} = call;
    this.#claims = claims;
    this.#key = {
      environment: snapshot.environment,
      service: route.service.name,
      callerClass: headers.callerClass,
      key,
      callId,
    };
  }

  /** Whether the claim was granted and its result is not known yet. */
  get open(): boolean {
    return this.#granted;
  }

  /** Asks for the claim. */
  async begin(timeoutMs: number): Promise<ClaimAction> {
    const step = await beginClaim(this.#claims, this.#key, timeoutMs);
    this.#granted = step.kind === 'granted';
    return step;
  }

  /** Reports the result; only a granted claim has one. */
  finish(result: ClaimResult): void {
    if (!this.#granted) return;
    this.#granted = false;
    this.#claims.finish(this.#key, result);
  }
}

import {beginClaim} from './claim-action.js';
import type {ClaimAction} from './claim-action.js';
import type {AttemptLog} from './attempt-log.js';
import type {CallerResponse} from './caller-response.js';
import type {ClaimKey, ClaimResult, ClaimsPort} from './entry-ports.js';
import type {RoutedCall} from './routed-call.js';

/** Claim on the idempotency key of one call. @internal */
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

  /** Requests the claim. */
  async begin(timeoutMs: number): Promise<ClaimAction> {
    const action = await beginClaim(this.#claims, this.#key, timeoutMs);
    this.#granted = action.kind === 'granted';
    return action;
  }

  /** Reports the result of a granted claim; does nothing without one. */
  finish(log: AttemptLog, response: CallerResponse): void {
    if (!this.#granted) return;
    this.#granted = false;
    this.#claims.finish(this.#key, resultOf(log, response));
  }
}

function resultOf(log: AttemptLog, response: CallerResponse): ClaimResult {
  if (log.answered) return {kind: 'answered', answer: response.toStored()};
  return {kind: log.mayHaveRun ? 'unknown' : 'notRun'};
}

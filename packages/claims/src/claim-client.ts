import {Result} from 'true-myth';
import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import type {
  BeginReply,
  BeginRequest,
  ClaimScope,
  FinishRequest,
} from './messages.js';
import {claimDigest, partitionOf} from './messages.js';
import {rendezvousOrder} from './rendezvous.js';

/** Sends one message to a node and resolves with the reply. @public */
export interface SendClaimMessage {
  (
    nodeId: string,
    kind: 'claim.begin',
    body: BeginRequest,
  ): Promise<Result<BeginReply, MeshError>>;
  (
    nodeId: string,
    kind: 'claim.finish',
    body: FinishRequest,
  ): Promise<Result<true, MeshError>>;
}

/** Options of {@link ClaimClient}. @public */
export interface ClaimClientOptions {
  /** Live nodes of the environment. */
  readonly nodes: () => readonly string[];
  readonly send: SendClaimMessage;
  /** Maximum number of attempts per message. Default 2. */
  readonly attempts?: number;
}

/** A call with an idempotency key. @public */
export interface ClaimCall extends ClaimScope {
  readonly callId: string;
}

/**
 * Outcome of a granted call. `notRun` requires certainty that the call did not
 * run, since it allows another call to run.
 *
 * @public
 */
export type ClaimOutcome = Pick<FinishRequest, 'outcome' | 'answer'>;

const defaultAttempts = 2;

/** Sends claim messages to the owner node of the claim's partition. @public */
export class ClaimClient {
  readonly #options: ClaimClientOptions;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /**
   * Claims the key for one call. Only `granted` allows the call to run, and only
   * once. After an error the call must not run, even if a grant arrives later.
   *
   * @param holdMs - Time that the call may run after the grant, in milliseconds.
   */
  async begin(
    call: ClaimCall,
    holdMs: number,
  ): Promise<Result<BeginReply, MeshError>> {
    const body = {...requestFields(call), holdMs};
    const reply = await this.#retry(body.partition, owner =>
      this.#options.send(owner, 'claim.begin', body),
    );
    // The owner may have recorded a grant. Releases it, so that a repetition of
    // the request can claim the key.
    if (reply.isErr) void this.finish(call, {outcome: 'notRun', answer: null});
    return reply;
  }

  /** Records the outcome of a granted call. */
  finish(
    call: ClaimCall,
    outcome: ClaimOutcome,
  ): Promise<Result<true, MeshError>> {
    const body = {...requestFields(call), ...outcome};
    return this.#retry(body.partition, owner =>
      this.#options.send(owner, 'claim.finish', body),
    );
  }

  async #retry<T>(
    partition: number,
    send: (owner: string) => Promise<Result<T, MeshError>>,
  ): Promise<Result<T, MeshError>> {
    let error = new MeshError(CLAIM_CODES.unavailable, 'no node is known');
    const attempts = this.#options.attempts ?? defaultAttempts;
    for (let i = 0; i < attempts; i++) {
      const nodes = this.#options.nodes();
      const owner = rendezvousOrder(nodes, `claims/${String(partition)}`)[0];
      if (owner === undefined) break;
      const reply = await send(owner);
      if (reply.isOk) return reply;
      error = reply.error;
    }
    const {message, code} = error;
    if (code === CLAIM_CODES.storeWentBack) return Result.err(error);
    const details = {cause: code.code};
    return Result.err(new MeshError(CLAIM_CODES.unavailable, message, details));
  }
}

function requestFields(call: ClaimCall) {
  const {callId} = call;
  return {partition: partitionOf(call), claim: claimDigest(call), callId};
}

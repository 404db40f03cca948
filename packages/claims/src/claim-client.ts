import {Result} from 'true-myth';
import {CLAIM_CODES, MeshError} from '@verbenabeam/core';
import type {
  BeginReply,
  BeginRequest,
  ClaimScope,
  FinishRequest,
} from './messages.js';
import {claimOf, partitionOf} from './messages.js';
import {rendezvousOrder} from './rendezvous.js';

/** Sends one message to a node and returns its reply. @public */
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
  /** Sends of one message before it fails. Default 2. */
  readonly attempts?: number;
}

/** One call with an idempotency key. @public */
export interface ClaimCall extends ClaimScope {
  readonly callId: string;
}

/** How a granted call ended; `notRun` needs proof. @public */
export type ClaimOutcome = Pick<FinishRequest, 'outcome' | 'answer'>;

const defaultAttempts = 2;

/** Asks the owner of a claim's partition. @public */
export class ClaimClient {
  readonly #options: ClaimClientOptions;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /**
   * Claims the key for one call. Only `granted` allows it to run, once; after
   * an error the call must not run, even if a grant arrives later.
   *
   * @param holdMs - Time that the call may run, in milliseconds.
   */
  async begin(
    call: ClaimCall,
    holdMs: number,
  ): Promise<Result<BeginReply, MeshError>> {
    const body = {...address(call), holdMs};
    const reply = await this.#retry(body.partition, owner =>
      this.#options.send(owner, 'claim.begin', body),
    );
    // The grant may have been recorded, so the key is freed for a repetition.
    if (reply.isErr) void this.finish(call, {outcome: 'notRun', answer: null});
    return reply;
  }

  /** Records the end of a granted call. */
  finish(call: ClaimCall, end: ClaimOutcome): Promise<Result<true, MeshError>> {
    const body = {...address(call), ...end};
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

function address(call: ClaimCall) {
  const {callId} = call;
  return {partition: partitionOf(call), claim: claimOf(call), callId};
}

import {CLAIM_CODES, MeshError, VERSION_CODES} from '@verbenabeam/core';
import {
  ClaimClient,
  ClaimOwner,
  beginRequest,
  finishRequest,
} from '@verbenabeam/claims';
import type {
  BeginReply,
  BeginRequest,
  ClaimOutcome,
  SendClaimMessage,
  FinishRequest,
} from '@verbenabeam/claims';
import {systemSleep} from '@verbenabeam/store';
import type {StoreRevisions} from '@verbenabeam/store';
import {Result} from 'true-myth';
import type {z} from 'zod';
import type {
  ClaimDecision,
  ClaimKey,
  ClaimResult,
  ClaimsPort,
} from '../calls/index.js';
import type {NodeContext} from '../node-context.js';
import {unknownPeerError} from '../unknown-peer-error.js';
import {RevisionExchange} from './revision-exchange.js';

const beginKind = 'claim.begin';
const finishKind = 'claim.finish';
/** Maximum time for an owner to record a finished claim, in milliseconds. */
const finishTimeoutMs = 5_000;

type Kind = typeof beginKind | typeof finishKind;

/** Options of {@link ClaimsService}. @internal */
export interface ClaimsServiceOptions extends NodeContext {
  /** Revisions that the responses of the store contain. */
  readonly revisions: StoreRevisions;
  /**
   * Problem of the configuration. Claims are refused while the store is older.
   */
  readonly problem: () => MeshError | null;
}

/**
 * Claims idempotency keys and owns some partitions of the key space.
 *
 * @internal
 */
export class ClaimsService implements ClaimsPort {
  readonly #options: ClaimsServiceOptions;
  readonly #owner: ClaimOwner;
  readonly #client: ClaimClient;
  readonly #exchange: RevisionExchange;

  constructor(options: ClaimsServiceOptions) {
    this.#options = options;
    const {membership} = options;
    this.#exchange = new RevisionExchange(options, options.revisions);
    const {environment} = membership.own;
    this.#owner = new ClaimOwner({...options, environment, sleep: systemSleep});
    this.#client = new ClaimClient({
      nodes: () => this.#nodes(),
      send: this.#send as SendClaimMessage,
    });
  }

  /** Alarm for operators, or null. */
  get problem(): MeshError | null {
    const {storeWentBack} = CLAIM_CODES;
    if (!this.#exchange.wentBack) return null;
    return new MeshError(storeWentBack, storeWentBack.text);
  }

  /**
   * Accepts the current state of the store, so that claims are granted again.
   */
  confirmRestore(): void {
    this.#exchange.confirm();
  }

  start(): void {
    const {bus} = this.#options;
    this.#exchange.start();
    bus.onRequest(beginKind, body => this.#own(beginKind, body));
    bus.onRequest(finishKind, body => this.#own(finishKind, body));
  }

  async begin(
    claim: ClaimKey,
    timeoutMs: number,
  ): Promise<Result<ClaimDecision, MeshError>> {
    const begun = await this.#client.begin(claim, timeoutMs);
    return begun.map(toDecision);
  }

  finish(claim: ClaimKey, result: ClaimResult): void {
    const end = toEnd(result);
    if (end) void this.#client.finish(claim, end);
  }

  #nodes(): string[] {
    const {membership} = this.#options;
    return membership
      .live()
      .filter(row => row.environment === membership.own.environment)
      .map(row => row.nodeId);
  }

  readonly #send = async (
    nodeId: string,
    kind: Kind,
    body: BeginRequest | FinishRequest,
  ): Promise<Result<unknown, MeshError>> => {
    const {membership, bus} = this.#options;
    if (nodeId === membership.own.nodeId) return this.#own(kind, body);
    const address = membership.addressOf(nodeId);
    if (address === undefined) return Result.err(unknownPeerError(nodeId));
    const timeoutMs = 'holdMs' in body ? body.holdMs : finishTimeoutMs;
    const message = this.#exchange.attach(body);
    const reply = await bus.request(address, kind, message, {timeoutMs});
    if (reply.isOk) this.#exchange.take(reply.value);
    return reply;
  };

  /** Handles a claim request as the owner of the partition. */
  async #own(kind: Kind, body: unknown): Promise<Result<unknown, MeshError>> {
    const problem = this.#options.problem();
    if (problem?.code === VERSION_CODES.storeOlder) {
      // The restored store may lack claims that were granted after its backup.
      return Result.err(
        new MeshError(CLAIM_CODES.unavailable, problem.message),
      );
    }
    this.#exchange.take(body);
    if (kind === beginKind) {
      return this.#checked(beginRequest, body, req => this.#begin(req));
    }
    return this.#checked(finishRequest, body, req => this.#owner.finish(req));
  }

  /**
   * Checks twice, because the store response for the claim may have an older
   * revision.
   */
  async #begin(req: BeginRequest): Promise<Result<BeginReply, MeshError>> {
    if (this.problem) return Result.err(this.problem);
    const begun = await this.#owner.begin(req);
    if (this.problem) return Result.err(this.problem);
    return begun.map(reply => this.#exchange.attach(reply));
  }

  #checked<T, R>(
    schema: z.ZodType<T>,
    body: unknown,
    serve: (req: T) => Promise<Result<R, MeshError>>,
  ): Promise<Result<R, MeshError>> {
    const parsed = schema.safeParse(body);
    if (parsed.success) return serve(parsed.data);
    const text = 'malformed claim request';
    const err = new MeshError(CLAIM_CODES.unavailable, text);
    return Promise.resolve(Result.err(err));
  }
}

function toDecision(reply: BeginReply): ClaimDecision {
  if (reply.state !== 'finished') return {kind: reply.state};
  const {answer} = reply;
  const none = {status: 0, headers: [], body: null};
  return {kind: 'finished', answer: answer ?? none};
}

/**
 * Returns null to leave the claim open; its outcome is unknown after it
 * expires.
 */
function toEnd(result: ClaimResult): ClaimOutcome | null {
  if (result.kind === 'unknown') return null;
  if (result.kind === 'notRun') return {outcome: 'notRun', answer: null};
  const {status, headers, body} = result.answer;
  const answer = body
    ? {status, headers: [...headers], body: new Uint8Array(body)}
    : null;
  return {outcome: 'ran', answer};
}

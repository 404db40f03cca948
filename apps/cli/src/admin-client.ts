import {Result} from 'true-myth';
import {Agent, getGlobalDispatcher, request} from 'undici';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {errorBodySchema} from '@verbenabeam/admin-api';
import {ACCESS_CODES, MeshError, findCode} from '@verbenabeam/core';
import type {CliConfig} from './cli-config.js';

const requestTimeoutMs = 15_000;
const firstErrorStatus = 400;

/** One request to the admin API. */
export interface AdminRequest<T> {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
}

/** Sends operator requests to the admin listener of one node. */
export class AdminClient {
  readonly #cfg: CliConfig;
  readonly #dispatcher: Dispatcher;

  constructor(cfg: CliConfig) {
    this.#cfg = cfg;
    this.#dispatcher =
      cfg.authority === null ? getGlobalDispatcher() : agentFor(cfg.authority);
  }

  /** Sends one request; refusals of the node come back with their code. */
  async send<T>(req: AdminRequest<T>): Promise<Result<T, MeshError>> {
    try {
      const res = await request(new URL(req.path, this.#cfg.node), {
        dispatcher: this.#dispatcher,
        method: req.method,
        headers: this.#headers(),
        body: req.body === undefined ? null : JSON.stringify(req.body),
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs,
      });
      const body: unknown = await res.body.json();
      if (res.statusCode >= firstErrorStatus) return Result.err(refusal(body));
      return Result.ok(req.schema.parse(body));
    } catch (err) {
      return Result.err(unreachable(this.#cfg.node, err));
    }
  }

  #headers(): Record<string, string> {
    return {
      authorization: `Bearer ${this.#cfg.token}`,
      'content-type': 'application/json',
    };
  }
}

/** Nodes are addressed by IP, so the authority decides and no name is compared. */
function agentFor(authority: string): Agent {
  const connect = {ca: authority, checkServerIdentity: () => undefined};
  return new Agent({connect});
}

function refusal(body: unknown): MeshError {
  const {code, message, details} = errorBodySchema.parse(body);
  const known = findCode(code) ?? ACCESS_CODES.badRequest;
  return new MeshError(known, message, details);
}

function unreachable(node: string, err: unknown): MeshError {
  const reason = err instanceof Error ? err.message : String(err);
  return new MeshError(
    ACCESS_CODES.nodeUnreachable,
    `node ${node} gave no usable answer: ${reason}`,
  );
}

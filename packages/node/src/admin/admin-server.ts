import {createServer as createHttpServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer as createHttpsServer} from 'node:https';
import {Result} from 'true-myth';
import {ACCESS_CODES, MeshError, logger} from '@verbenabeam/core';
import {isTextAnswer} from './admin-route.js';
import type {AdminRoute} from './admin-route.js';
import {isAdmitted} from './is-admitted.js';
import {matchRoute} from './match-route.js';
import {readJson} from './read-json.js';

const log = logger('admin');

/** Certificate, private key and CA of a TLS listener, in PEM format. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Options of {@link AdminServer}. */
export interface AdminServerOptions {
  readonly routes: readonly AdminRoute[];
  readonly operatorToken: string;
  /** Enables HTTPS; default is plain HTTP. */
  readonly tls?: TlsMaterial;
}

/** HTTP server for operators, metrics and upstream announcements. */
export class AdminServer {
  readonly server: Server;
  readonly #options: AdminServerOptions;

  constructor(options: AdminServerOptions) {
    this.#options = options;
    const listener = (req: IncomingMessage, res: ServerResponse) => {
      this.#serve(req, res).catch((err: unknown) => {
        log('Request failed.', {reason: String(err)});
        res.destroy();
      });
    };
    this.server = options.tls
      ? createHttpsServer(options.tls, listener)
      : createHttpServer(listener);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const outcome = await this.#answer(req);
    if (outcome.isErr) {
      const {error} = outcome;
      send(res, error.code.http, 'application/json', JSON.stringify(error));
      return;
    }
    const {value} = outcome;
    if (isTextAnswer(value)) send(res, httpOk, value.contentType, value.text);
    else send(res, httpOk, 'application/json', JSON.stringify(value));
  }

  async #answer(req: IncomingMessage): Promise<Result<unknown, MeshError>> {
    const url = new URL(req.url ?? '/', 'http://node');
    const match = matchRoute(
      this.#options.routes,
      req.method ?? 'GET',
      url.pathname,
    );
    if (match === null) return notFound(url.pathname);
    const {route, params} = match;
    if (!isAdmitted(route.admission, req, this.#options.operatorToken)) {
      log('Request refused.', {path: route.path, code: unauthorizedCode});
      return Result.err(
        new MeshError(
          ACCESS_CODES.unauthorized,
          ACCESS_CODES.unauthorized.text,
        ),
      );
    }
    const body = await readJson(req);
    if (body.isErr) return body;
    return route.handle({params, query: url.searchParams, body: body.value});
  }
}

const httpOk = 200;
const unauthorizedCode = ACCESS_CODES.unauthorized.code;

function notFound(path: string): Result<unknown, MeshError> {
  return Result.err(
    new MeshError(ACCESS_CODES.notFound, `no resource at "${path}"`),
  );
}

function send(
  res: ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  res.writeHead(status, {'content-type': contentType});
  res.end(text);
}

import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';

/** Who may use a route of the admin API. */
export const ADMISSION = {
  /** Holders of the operator token. */
  operator: 'operator',
  /** Processes on the same machine, without a token. */
  loopback: 'loopback',
  /** Everybody who reaches the listener. */
  open: 'open',
} as const;

/** One of the values of {@link ADMISSION}. */
export type AdmissionRule = (typeof ADMISSION)[keyof typeof ADMISSION];

/** What a handler gets of a request. */
export interface AdminCall {
  /** Values of the `:name` parts of the path. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Parsed JSON body; undefined for an empty one. */
  readonly body: unknown;
}

/** A text answer, for the metrics. */
export interface TextAnswer {
  readonly contentType: string;
  readonly text: string;
}

/** Answers one kind of request; other values are sent as JSON. */
export type AdminHandler = (
  call: AdminCall,
) => Promise<Result<unknown, MeshError>>;

/** One row of the table of handlers. */
export interface AdminRoute {
  readonly method: 'GET' | 'POST';
  /** Path with `:name` for a variable part. */
  readonly path: string;
  readonly admission: AdmissionRule;
  readonly handle: AdminHandler;
}

/** Tells a text answer from data. */
export function isTextAnswer(value: unknown): value is TextAnswer {
  return typeof value === 'object' && value !== null && 'contentType' in value;
}

import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';

/** Access rules of admin API routes. */
export const ADMISSION = {
  /** Requires the operator token. */
  operator: 'operator',
  /** Requires a loopback connection; no token. */
  loopback: 'loopback',
  /** No restriction. */
  open: 'open',
} as const;

/** One of the values of {@link ADMISSION}. */
export type AdmissionRule = (typeof ADMISSION)[keyof typeof ADMISSION];

/** Request data that a handler receives. */
export interface AdminCall {
  /** Values of the `:name` parts of the path. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Parsed JSON body; undefined if the body is empty. */
  readonly body: unknown;
}

/** A response in plain text, used for the metrics. */
export interface TextAnswer {
  readonly contentType: string;
  readonly text: string;
}

/** Handles a request. A result that is not a text response is sent as JSON. */
export type AdminHandler = (
  call: AdminCall,
) => Promise<Result<unknown, MeshError>>;

/** A route of the admin API. */
export interface AdminRoute {
  readonly method: 'GET' | 'POST';
  /** Path pattern; `:name` matches one path segment. */
  readonly path: string;
  readonly admission: AdmissionRule;
  readonly handle: AdminHandler;
}

/** Distinguishes a text response from JSON data. */
export function isTextAnswer(value: unknown): value is TextAnswer {
  return typeof value === 'object' && value !== null && 'contentType' in value;
}

import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';

/**
 * Fits a document of 1,000,000 bytes, escaped as JSON, and the other fields.
 */
const maxBodyBytes = 4_000_000;

/**
 * Reads a JSON body up to the size limit; returns undefined for an empty body.
 */
export async function readJson(
  req: IncomingMessage,
): Promise<Result<unknown, MeshError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= maxBodyBytes) chunks.push(chunk);
  }
  if (size > maxBodyBytes) {
    return Result.err(
      new MeshError(
        ACCESS_CODES.bodyTooLarge,
        `request body has ${size} bytes, the limit is ${maxBodyBytes}`,
      ),
    );
  }
  return parseJson(Buffer.concat(chunks).toString('utf8'));
}

function parseJson(text: string): Result<unknown, MeshError> {
  if (text === '') return Result.ok(undefined);
  try {
    return Result.ok(JSON.parse(text));
  } catch {
    return Result.err(
      new MeshError(ACCESS_CODES.badRequest, 'the request body is not JSON'),
    );
  }
}

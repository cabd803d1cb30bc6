import type {IncomingMessage} from 'node:http';

import {Problem, ProblemName} from './problem.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly maximumBytes: number;
  /** Milliseconds within which the complete body must be received. */
  readonly timeoutMilliseconds: number;
}

function tooLarge(limits: BodyLimits): Problem {
  return new Problem(ProblemName.BodyTooLarge, {
    detail: `the body exceeds ${limits.maximumBytes} bytes`,
  });
}

function receiveTimeout(limits: BodyLimits): Problem {
  return new Problem(ProblemName.RequestTimeout, {
    detail: `the body was not received within ${limits.timeoutMilliseconds} ms`,
  });
}

/**
 * Reads a request's body.
 *
 * Without the limits, a caller that sends endlessly or very slowly could occupy
 * memory and a connection indefinitely. The request is not acted on before its
 * body is complete.
 *
 * @throws Problem `body-too-large` or `request-timeout` if a limit is exceeded;
 *     `malformed-request` if the connection closes first.
 * @example
 * ```ts
 * const body = await readBody(request, {maximumBytes: 1_048_576, timeoutMilliseconds: 10_000});
 * ```
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Uint8Array> {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > limits.maximumBytes) {
    return Promise.reject(tooLarge(limits));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const timer = setTimeout(() => {
      fail(receiveTimeout(limits));
    }, limits.timeoutMilliseconds);
    const fail = (problem: Problem) => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      request.pause();
      reject(problem);
    };
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      chunks.push(chunk);
      if (length > limits.maximumBytes) {
        fail(tooLarge(limits));
      }
    });
    request.once('end', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks));
    });
    request.once('close', () => {
      fail(
        new Problem(ProblemName.MalformedRequest, {
          detail: 'the connection closed before the request was complete',
        }),
      );
    });
  });
}

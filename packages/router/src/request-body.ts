import type {IncomingMessage} from 'node:http';

import {Problem, ProblemName} from './problem.js';

/** Limits of one request's body. */
export interface BodyLimits {
  readonly maximumBytes: number;
  /** The whole body must be there by then. */
  readonly timeoutMilliseconds: number;
}

function tooLarge(limits: BodyLimits): Problem {
  return new Problem(ProblemName.BodyTooLarge, {
    detail: `the body is over ${limits.maximumBytes} bytes`,
  });
}

function tooSlow(limits: BodyLimits): Problem {
  return new Problem(ProblemName.RequestTimeout, {
    detail: `the body was not there within ${limits.timeoutMilliseconds} ms`,
  });
}

/**
 * Reads a request's body.
 *
 * A caller that sends without end, or a byte now and then, would hold memory and
 * a connection for as long as it likes; both limits stop it, and nothing of the
 * request has been acted on by then.
 *
 * @throws Problem of the names body-too-large, request-timeout, and
 *     malformed-request where the caller broke off.
 * @example
 * ```ts
 * const body = await readBody(request, {maximumBytes: 1_048_576, timeoutMilliseconds: 10_000});
 * ```
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Uint8Array> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > limits.maximumBytes) {
    return Promise.reject(tooLarge(limits));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const timer = setTimeout(() => {
      fail(tooSlow(limits));
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
          detail: 'the caller broke off before its request was whole',
        }),
      );
    });
  });
}

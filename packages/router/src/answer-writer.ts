import {once} from 'node:events';
import type {ServerResponse} from 'node:http';

import type {Answer} from './answer.js';
import {createCompletion} from './completion-chunks.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';

const REQUEST_HEADER = 'X-Request-Id';
const OUTCOME_HEADER = 'X-Outcome';

/**
 * Writes a problem as the response; destroys the connection if a response has
 * already begun.
 */
export function writeProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {requestId} = problem.details;
  const retryAfter = problem.retryAfterSeconds;
  if (CONNECTION_CLOSING_PROBLEMS.has(problem.problem)) {
    // Further bytes on this connection can't be distinguished from the rest of
    // the refused request.
    response.setHeader('Connection', 'close');
  }
  if (requestId !== undefined) {
    response.setHeader(REQUEST_HEADER, requestId);
  }
  if (retryAfter !== undefined) {
    response.setHeader('Retry-After', retryAfter);
  }
  response.setHeader(OUTCOME_HEADER, problem.outcome);
  response.writeHead(problem.status, {
    'Content-Type': 'application/problem+json',
  });
  response.end(JSON.stringify(problem));
}

const CONNECTION_CLOSING_PROBLEMS: ReadonlySet<ProblemName> = new Set([
  ProblemName.BodyTooLarge,
  ProblemName.RequestTimeout,
  ProblemName.Draining,
]);

function problemOf(answer: Answer): Problem | undefined {
  return answer.end !== undefined && 'problem' in answer.end
    ? answer.end.problem
    : undefined;
}

async function write(
  response: ServerResponse,
  text: string,
  signal: AbortSignal,
): Promise<void> {
  if (!response.write(text)) {
    await once(response, 'drain', {signal});
  }
}

/** Ends a stream; writes the `[DONE]` mark only after a complete answer. */
function endStream(answer: Answer, response: ServerResponse): void {
  const problem = problemOf(answer);
  const outcome = problem?.outcome ?? AnswerOutcome.Answered;
  response.addTrailers({[OUTCOME_HEADER]: outcome});
  response.end(
    problem === undefined
      ? 'data: [DONE]\n\n'
      : `event: error\ndata: ${JSON.stringify(problem)}\n\n`,
  );
}

/**
 * Writes a completion as server-sent events, each with its index as `id`. The
 * response head is sent with the first event, so that a problem before it can
 * still set the status code.
 *
 * @param lastEvent Index of the last event to skip; -1 to skip none.
 */
export async function writeStream(
  answer: Answer,
  response: ServerResponse,
  lastEvent: number,
  signal: AbortSignal,
): Promise<void> {
  await answer.waitForEvent(lastEvent + 1, signal);
  const problem = problemOf(answer);
  if (problem !== undefined && answer.events.length <= lastEvent + 1) {
    writeProblem(response, problem);
    return;
  }
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
    Trailer: OUTCOME_HEADER,
    [REQUEST_HEADER]: answer.options.requestId,
  });
  for await (const event of answer.read(lastEvent, signal)) {
    const data = Buffer.from(event.data).toString();
    await write(response, `id: ${event.index}\ndata: ${data}\n\n`, signal);
  }
  if (!signal.aborted) {
    endStream(answer, response);
  }
}

/** Waits for the end of the answer and writes it as one body. */
async function writeCompleteAnswer(
  answer: Answer,
  response: ServerResponse,
  signal: AbortSignal,
  body: () => {contentType: string; status: number; bytes: Uint8Array},
): Promise<void> {
  await answer.waitForEvent(Number.POSITIVE_INFINITY, signal);
  if (signal.aborted) {
    return;
  }
  const problem = problemOf(answer);
  if (problem !== undefined) {
    writeProblem(response, problem);
    return;
  }
  const {contentType, status, bytes} = body();
  response.writeHead(status, {
    'Content-Type': contentType,
    'Content-Length': bytes.byteLength,
    [REQUEST_HEADER]: answer.options.requestId,
    [OUTCOME_HEADER]: AnswerOutcome.Answered,
  });
  response.end(bytes);
}

/** Writes a completion as one JSON object. */
export function writeCompletion(
  answer: Answer,
  response: ServerResponse,
  model: string,
  signal: AbortSignal,
): Promise<void> {
  return writeCompleteAnswer(answer, response, signal, () => ({
    contentType: 'application/json',
    status: 200,
    bytes: Buffer.from(JSON.stringify(createCompletion(answer, model))),
  }));
}

/** Writes a plain service's answer unchanged. */
export function writePlain(
  answer: Answer,
  response: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  return writeCompleteAnswer(answer, response, signal, () => ({
    contentType: answer.head?.contentType ?? 'application/octet-stream',
    status: answer.head?.status ?? 200,
    bytes: Buffer.concat(answer.events.map(({data}) => data)),
  }));
}

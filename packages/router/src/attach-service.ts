import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import type {AttachMessageSchema, RouterService} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {Problem, ProblemName} from './problem.js';
import type {RequestService} from './request-service.js';

type AttachMessageInit = MessageInitShape<typeof AttachMessageSchema>;

function problemMessage(problem: Problem): AttachMessageInit {
  return {
    kind: {
      case: 'problem',
      value: {
        status: problem.status,
        problemJson: JSON.stringify(problem),
        retryAfterSeconds: problem.retryAfterSeconds ?? 0,
      },
    },
  };
}

async function* messagesOf(
  answer: Answer,
  lastEvent: number,
  signal: AbortSignal,
): AsyncGenerator<AttachMessageInit, void> {
  for await (const event of answer.read(lastEvent, signal)) {
    if (answer.head !== undefined && event.index === lastEvent + 1) {
      yield {kind: {case: 'head', value: answer.head}};
    }
    yield {kind: {case: 'event', value: event}};
  }
  if (answer.end === undefined) {
    return;
  }
  yield 'problem' in answer.end
    ? problemMessage(answer.end.problem)
    : {kind: {case: 'end', value: {}}};
}

/** Implements the service from which other routers copy this router's answers. */
export function attachService(
  requests: RequestService,
): ServiceImpl<typeof RouterService> {
  return {
    async *attach(request, context) {
      const answer = requests.find(request, request.requestId);
      if (answer === undefined) {
        yield problemMessage(
          new Problem(ProblemName.UnknownRequest, {
            detail: 'this router does not know the request',
            requestId: request.requestId,
          }),
        );
        return;
      }
      const removeReader = requests.addReader(answer);
      try {
        yield* messagesOf(answer, request.lastEvent, context.signal);
      } finally {
        removeReader();
      }
    },
  };
}

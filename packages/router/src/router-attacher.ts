import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {RouterService, type AttachMessage} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';

/** How joining another router's answer ended. */
export enum AttachResult {
  /** The answer ended there, whole or with a problem, and so it did here. */
  Ended = 'ended',
  /** The other router knows nothing of the request. */
  Unknown = 'unknown',
  /** The other router was lost on the way. */
  Lost = 'lost',
}

/** Opens answers at other routers; tests put fakes in its place. */
export abstract class RouterConnector {
  /** @param address `IP:port` of the router's control services. */
  abstract attach(
    address: string,
    answer: Answer,
    signal: AbortSignal,
  ): AsyncIterable<AttachMessage>;
}

/** Attaches over HTTP/2 by Connect. */
export class ConnectRouterConnector extends RouterConnector {
  override attach(
    address: string,
    answer: Answer,
    signal: AbortSignal,
  ): AsyncIterable<AttachMessage> {
    const client = createClient(
      RouterService,
      createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '2',
        pingIntervalMs: PING_INTERVAL_MILLISECONDS,
        pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
      }),
    );
    const {requestId, organisation, caller} = answer.options;
    const lastEvent = answer.events.length - 1;
    return client.attach(
      {requestId, organisation, caller, lastEvent},
      {signal},
    );
  }
}

const PING_INTERVAL_MILLISECONDS = 1_000;
const PING_TIMEOUT_MILLISECONDS = 2_000;

interface ProblemDocument {
  readonly type: string;
  readonly detail: string;
  readonly outcome: string;
  readonly retryAfterMilliseconds?: number;
  readonly step?: string;
  readonly peer?: string;
}

const TYPE_PREFIX = 'urn:wisteriadeal:problem:';

function member<Value extends string>(
  values: readonly Value[],
  text: string,
): Value | undefined {
  return values.find(value => value === text);
}

/** Reads the problem that another router sent. */
export function parseProblem(json: string): Problem {
  const document = JSON.parse(json) as ProblemDocument;
  const {type, detail, outcome, retryAfterMilliseconds, step, peer} = document;
  const name = member(
    Object.values(ProblemName),
    type.slice(TYPE_PREFIX.length),
  );
  return new Problem(
    name ?? ProblemName.OutcomeUnknown,
    {
      detail,
      ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
      ...(step === undefined ? {} : {step}),
      ...(peer === undefined ? {} : {peer}),
    },
    member(Object.values(AnswerOutcome), outcome) ?? AnswerOutcome.Unknown,
  );
}

function take(
  answer: Answer,
  message: AttachMessage,
): AttachResult | undefined {
  const {kind} = message;
  switch (kind.case) {
    case 'head':
      answer.begin(kind.value);
      return undefined;
    case 'event':
      if (kind.value.index !== answer.events.length) {
        return AttachResult.Lost;
      }
      answer.append(kind.value.data);
      return undefined;
    case 'end':
      answer.finish({whole: true});
      return AttachResult.Ended;
    case 'problem': {
      const problem = parseProblem(kind.value.problemJson);
      if (problem.problem === ProblemName.UnknownRequest) {
        return AttachResult.Unknown;
      }
      answer.finish({problem});
      return AttachResult.Ended;
    }
    default:
      return undefined;
  }
}

/**
 * Copies another router's answer into one of this router until it ends. A stream
 * that breaks off without an end is `Lost`; it never counts as whole.
 */
export async function copyAnswer(
  connector: RouterConnector,
  address: string,
  answer: Answer,
): Promise<AttachResult> {
  try {
    const messages = connector.attach(address, answer, answer.abandoned);
    for await (const message of messages) {
      const result = take(answer, message);
      if (result !== undefined) {
        return result;
      }
    }
  } catch {
    // The other router, or the way to it, is gone.
  }
  return AttachResult.Lost;
}

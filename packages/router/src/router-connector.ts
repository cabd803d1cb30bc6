import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {PeerSessionManager} from '@wisteriadeal/runtime';
import {RouterService, type AttachMessage} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';

/** Result of copying another router's answer. */
export enum AttachResult {
  /** The answer ended, complete or with a problem, and the copy ended alike. */
  Ended = 'ended',
  /** The other router does not know the request. */
  Unknown = 'unknown',
  /** The stream broke off or skipped an event before the answer ended. */
  Lost = 'lost',
}

/** Opens answer streams at other routers. */
export abstract class RouterConnector {
  /** @param address `IP:port` of the router's control services. */
  abstract attach(
    address: string,
    answer: Answer,
    signal: AbortSignal,
  ): AsyncIterable<AttachMessage>;
}

/** Attaches with Connect over HTTP/2. */
export class ConnectRouterConnector extends RouterConnector {
  override attach(
    address: string,
    answer: Answer,
    signal: AbortSignal,
  ): AsyncIterable<AttachMessage> {
    const baseUrl = `http://${address}`;
    const client = createClient(
      RouterService,
      createConnectTransport({
        baseUrl,
        httpVersion: '2',
        sessionManager: new PeerSessionManager(baseUrl, {
          pingIntervalMs: PING_INTERVAL_MILLISECONDS,
          pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
        }),
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

function findValue<Value extends string>(
  values: readonly Value[],
  text: string,
): Value | undefined {
  return values.find(value => value === text);
}

/**
 * Parses the problem document that another router sent. An unknown type becomes
 * `outcome-unknown`, and an unknown outcome becomes `unknown`.
 *
 * @throws SyntaxError if the text is not JSON.
 */
export function parseProblem(json: string): Problem {
  const document = JSON.parse(json) as ProblemDocument;
  const {type, detail, outcome, retryAfterMilliseconds, step, peer} = document;
  const name = findValue(
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
    findValue(Object.values(AnswerOutcome), outcome) ?? AnswerOutcome.Unknown,
  );
}

function applyMessage(
  answer: Answer,
  message: AttachMessage,
): AttachResult | undefined {
  const {kind} = message;
  switch (kind.case) {
    case 'head':
      answer.setHead(kind.value);
      return undefined;
    case 'event':
      if (kind.value.index !== answer.events.length) {
        return AttachResult.Lost;
      }
      answer.append(kind.value.data);
      return undefined;
    case 'end':
      answer.finish({complete: true});
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
 * Copies another router's answer into an answer of this router until it ends. A
 * stream that breaks off without an end message returns `Lost`; the answer is
 * never treated as complete.
 */
export async function copyAnswer(
  connector: RouterConnector,
  address: string,
  answer: Answer,
): Promise<AttachResult> {
  try {
    const messages = connector.attach(address, answer, answer.abandoned);
    for await (const message of messages) {
      const result = applyMessage(answer, message);
      if (result !== undefined) {
        return result;
      }
    }
  } catch {
    // The other router failed or became unreachable.
  }
  return AttachResult.Lost;
}

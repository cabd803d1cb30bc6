import {WorkClass} from '@wisteriadeal/decisions';
import type {ChatMessage, Clock, RandomSource} from '@wisteriadeal/platform';
import {
  ServiceKind,
  type Call,
  type Configuration,
  type Limits,
  type Service,
} from '@wisteriadeal/schema';

import {completionBound, promptBound} from './bound.js';
import {parseChatRequest, type ChatRequest} from './chat-request.js';
import type {AuthenticatedCaller} from './credentials.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import {
  generateRequestId,
  keyedRequestId,
  parseMintedKey,
  sha256Hex,
} from './identity.js';
import {ModelWork} from './model-work.js';
import {PlainWork} from './plain-work.js';
import {Problem, ProblemName} from './problem.js';
import type {Submission} from './submission.js';

/** The fields that every kind of received request has. */
export interface IncomingWork {
  readonly caller: AuthenticatedCaller;
  readonly idempotencyKey: string | undefined;
  readonly lastEvent: number;
  readonly body: Uint8Array;
}

/** A received call of a plain service. */
export interface IncomingCall extends IncomingWork {
  readonly service: string;
  readonly call: string;
  readonly method: string;
  /** Query string with its leading question mark; empty if there is none. */
  readonly query: string;
  readonly contentType: string;
}

/** Dependencies of the submission reader. */
export interface SubmissionReaderDependencies {
  readonly endpoints: EndpointDirectory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly incarnation: () => string;
}

/** Engine priorities; an engine runs lower values first. */
const INTERACTIVE_PRIORITY = 0;
const BATCH_PRIORITY = 10;

/** Deadlines if the configuration sets none. */
const DEFAULT_INTERACTIVE_DEADLINE_MILLISECONDS = 5_000;
const DEFAULT_BATCH_DEADLINE_MILLISECONDS = 60_000;

/**
 * Engines cache prompts in whole blocks, and prompts of different requests share
 * their first blocks, so only the first 16 blocks are hashed for cache affinity.
 */
const PREFIX_BLOCK_CHARACTERS = 256;
const MAXIMUM_PREFIX_BLOCKS = 16;

function prefixHashes(messages: readonly ChatMessage[]): readonly string[] {
  const text = JSON.stringify(messages);
  const blocks = Math.min(
    Math.floor(text.length / PREFIX_BLOCK_CHARACTERS),
    MAXIMUM_PREFIX_BLOCKS,
  );
  return Array.from({length: blocks}, (_, index) =>
    sha256Hex(text.slice(0, (index + 1) * PREFIX_BLOCK_CHARACTERS)),
  );
}

function deadlineMilliseconds(
  limits: Limits | undefined,
  batch: boolean,
): number {
  const configured = batch
    ? limits?.batchDeadlineMilliseconds
    : limits?.interactiveDeadlineMilliseconds;
  const defaultValue = batch
    ? DEFAULT_BATCH_DEADLINE_MILLISECONDS
    : DEFAULT_INTERACTIVE_DEADLINE_MILLISECONDS;
  return configured === undefined || configured === 0
    ? defaultValue
    : configured;
}

/** Parses and validates received requests. */
export class SubmissionReader {
  constructor(private readonly dependencies: SubmissionReaderDependencies) {}

  /**
   * Reads a chat completion.
   *
   * @throws Problem if the request is malformed, or the model is unknown or not
   *     allowed for the organisation.
   */
  readChat(
    incoming: IncomingWork,
    configuration: Configuration,
  ): {readonly submission: Submission; readonly chat: ChatRequest} {
    const chat = parseChatRequest(incoming.body);
    const {service, model} = this.findModel(
      incoming.caller,
      configuration,
      chat.model,
    );
    const {endpoints, clock} = this.dependencies;
    const maximumOutputTokens = Math.min(
      chat.maximumOutputTokens ?? model.defaultOutputTokens,
      model.maximumOutputTokens,
    );
    const {messages, batch} = chat;
    const work = new ModelWork(
      {
        model: chat.model,
        messages,
        maximumOutputTokens,
        priority: batch ? BATCH_PRIORITY : INTERACTIVE_PRIORITY,
      },
      endpoint => endpoints.engine(endpoint),
      clock,
    );
    const submission: Submission = {
      ...this.common(incoming, `chat\u0000`),
      idempotent: true,
      boundTokens: completionBound(messages, model, maximumOutputTokens),
      service: service.name,
      model: chat.model,
      workClass: batch ? WorkClass.Batch : WorkClass.Interactive,
      promptTokens: promptBound(messages, model),
      maximumOutputTokens,
      prefixHashes: prefixHashes(messages),
      deadlineAt:
        clock.monotonicMilliseconds() +
        deadlineMilliseconds(configuration.limits, batch),
      work,
    };
    return {submission, chat};
  }

  /**
   * Reads a call of a plain service.
   *
   * @throws Problem if the call is unknown or not allowed for the organisation,
   *     or a non-idempotent call has no key.
   */
  readCall(incoming: IncomingCall, configuration: Configuration): Submission {
    const {service, call} = this.findCall(incoming, configuration);
    if (!call.idempotent && incoming.idempotencyKey === undefined) {
      throw new Problem(ProblemName.MissingIdempotencyKey, {
        detail: `${call.name} is not idempotent: send an Idempotency-Key`,
      });
    }
    const {endpoints, clock} = this.dependencies;
    const commonFields = this.common(
      incoming,
      `${service.name}\u0000${call.name}\u0000${incoming.query}\u0000`,
    );
    const work = new PlainWork(
      {
        requestId: commonFields.requestId,
        organisation: commonFields.organisation,
        method: call.method,
        path: `${call.path}${incoming.query}`,
        contentType: incoming.contentType,
        body: incoming.body,
      },
      call,
      endpoint => endpoints.plainService(endpoint),
    );
    return {
      ...commonFields,
      idempotent: call.idempotent,
      boundTokens: call.tokens,
      service: service.name,
      model: '',
      workClass: WorkClass.Interactive,
      promptTokens: 0,
      maximumOutputTokens: 0,
      prefixHashes: [],
      deadlineAt:
        clock.monotonicMilliseconds() +
        deadlineMilliseconds(configuration.limits, false),
      work,
    };
  }

  private common(incoming: IncomingWork, content: string) {
    const {caller, idempotencyKey, body, lastEvent} = incoming;
    const identity = {
      organisation: caller.organisation.name,
      caller: caller.caller,
    };
    const minted =
      idempotencyKey === undefined ? undefined : parseMintedKey(idempotencyKey);
    return {
      ...identity,
      requestId:
        idempotencyKey === undefined
          ? generateRequestId(this.dependencies.random)
          : keyedRequestId(identity, idempotencyKey),
      keyed: idempotencyKey !== undefined,
      mintedHere: minted?.incarnation === this.dependencies.incarnation(),
      mintedElsewhere:
        minted === undefined ||
        minted.incarnation === this.dependencies.incarnation()
          ? undefined
          : minted,
      fingerprint: sha256Hex(Buffer.concat([Buffer.from(content), body])),
      weight: caller.organisation.weight > 0 ? caller.organisation.weight : 1,
      lastEvent,
    };
  }

  private findModel(
    caller: AuthenticatedCaller,
    configuration: Configuration,
    name: string,
  ) {
    const model = configuration.models.find(
      configured => configured.name === name,
    );
    const services = configuration.services.filter(
      service =>
        service.kind === ServiceKind.MODEL && service.models.includes(name),
    );
    if (model === undefined || services.length === 0) {
      throw new Problem(ProblemName.UnknownModel, {
        detail: `there is no model ${JSON.stringify(name)}`,
      });
    }
    const service = services.find(candidate =>
      caller.organisation.services.includes(candidate.name),
    );
    if (service === undefined) {
      throw new Problem(ProblemName.ForbiddenService, {
        detail: `the organisation may not use ${JSON.stringify(name)}`,
      });
    }
    return {service, model};
  }

  private findCall(
    incoming: IncomingCall,
    configuration: Configuration,
  ): {readonly service: Service; readonly call: Call} {
    const service = configuration.services.find(
      candidate =>
        candidate.kind === ServiceKind.PLAIN &&
        candidate.name === incoming.service,
    );
    const call = service?.calls.find(
      candidate =>
        candidate.name === incoming.call &&
        candidate.method === incoming.method,
    );
    if (service === undefined || call === undefined) {
      throw new Problem(ProblemName.UnknownService, {
        detail: `there is no call ${incoming.method} ${incoming.service}/${incoming.call}`,
      });
    }
    if (!incoming.caller.organisation.services.includes(service.name)) {
      throw new Problem(ProblemName.ForbiddenService, {
        detail: `the organisation may not use ${service.name}`,
      });
    }
    return {service, call};
  }
}

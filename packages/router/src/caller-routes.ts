import type {Clock, RandomSource} from '@wisteriadeal/platform';
import type {Configuration} from '@wisteriadeal/schema';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Request} from 'restify';

import type {Answer} from './answer.js';
import {
  writeCompletion,
  writePlain,
  writeProblem,
  writeStream,
} from './answer-writer.js';
import type {CallerHandler, CallerRoute} from './caller-server.js';
import {Credentials, type AuthenticatedCaller} from './credentials.js';
import {mintKey, type MintedKeyOwner} from './identity.js';
import {Problem, ProblemName} from './problem.js';
import {readBody} from './request-body.js';
import type {RequestLocator} from './request-locator.js';
import type {RequestService} from './request-service.js';
import type {IncomingWork, SubmissionReader} from './submission-reader.js';

/** Dependencies of the routes. */
export interface RouteDependencies {
  readonly requests: RequestService;
  readonly locator: RequestLocator;
  readonly reader: SubmissionReader;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: () => Configuration | undefined;
  readonly identity: () => MintedKeyOwner;
  readonly ready: () => boolean;
}

/** Defaults for limits that the configuration does not set. */
const DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;
const DEFAULT_RECEIVE_TIMEOUT_MILLISECONDS = 10_000;

const NOT_CONFIGURED_RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Limits keys to a length that people and programs can store; the IETF draft of
 * the Idempotency-Key header sets no limit.
 */
const MAXIMUM_KEY_CHARACTERS = 255;

function orDefault(value: number | undefined, defaultValue: number): number {
  return value === undefined || value === 0 ? defaultValue : value;
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function lastEventOf(request: IncomingMessage): number {
  const text = header(request, 'last-event-id');
  if (text === undefined) {
    return -1;
  }
  if (!/^\d{1,9}$/.test(text)) {
    throw new Problem(ProblemName.MalformedRequest, {
      detail: 'Last-Event-ID must be an event id of 1 to 9 digits',
    });
  }
  return Number(text);
}

function idempotencyKeyOf(request: IncomingMessage): string | undefined {
  const key = header(request, 'idempotency-key');
  if (
    key !== undefined &&
    (key === '' || key.length > MAXIMUM_KEY_CHARACTERS)
  ) {
    throw new Problem(ProblemName.MalformedRequest, {
      detail: `Idempotency-Key must have 1 to ${MAXIMUM_KEY_CHARACTERS} characters`,
    });
  }
  return key;
}

/** The routes of the callers' interface. */
export class CallerRoutes {
  private credentials: Credentials | undefined;
  private credentialsConfiguration: Configuration | undefined;

  constructor(private readonly dependencies: RouteDependencies) {}

  /** Returns all routes. */
  routes(): readonly CallerRoute[] {
    const call: CallerHandler = (request, response) =>
      this.plainCall(request, response);
    return [
      {
        method: 'post',
        path: '/v1/chat/completions',
        handler: (request, response) => this.chat(request, response),
      },
      {method: 'post', path: '/v1/services/:service/:call', handler: call},
      {method: 'get', path: '/v1/services/:service/:call', handler: call},
      {
        method: 'get',
        path: '/v1/requests/:requestId/events',
        handler: (request, response) => this.events(request, response),
      },
      {
        method: 'post',
        path: '/v1/keys',
        handler: (request, response) => this.mint(request, response),
      },
      {
        method: 'get',
        path: '/ready',
        handler: (_request, response) => this.ready(response),
      },
      {
        method: 'get',
        path: '/healthy',
        handler: (_request, response) => {
          response.end('healthy\n');
          return Promise.resolve();
        },
      },
    ];
  }

  private async chat(
    request: Request,
    response: ServerResponse,
  ): Promise<void> {
    const {incoming, configuration} = await this.readIncoming(request);
    const {submission, chat} = this.dependencies.reader.readChat(
      incoming,
      configuration,
    );
    const answer = await this.dependencies.locator.submit(submission);
    await this.serve(answer, response, signal =>
      chat.stream
        ? writeStream(answer, response, submission.lastEvent, signal)
        : writeCompletion(answer, response, chat.model, signal),
    );
  }

  private async plainCall(
    request: Request,
    response: ServerResponse,
  ): Promise<void> {
    const {incoming, configuration} = await this.readIncoming(request);
    const parameters = request.params as {service: string; call: string};
    const query = request.getQuery();
    const submission = this.dependencies.reader.readCall(
      {
        ...incoming,
        service: parameters.service,
        call: parameters.call,
        method: request.method ?? '',
        query: query === '' ? '' : `?${query}`,
        contentType: header(request, 'content-type') ?? 'application/json',
      },
      configuration,
    );
    const answer = await this.dependencies.locator.submit(submission);
    await this.serve(answer, response, signal =>
      writePlain(answer, response, signal),
    );
  }

  private async events(
    request: Request,
    response: ServerResponse,
  ): Promise<void> {
    const {caller} = this.authenticate(request);
    const {requestId} = request.params as {requestId: string};
    const lastEvent = lastEventOf(request);
    const identity = {
      organisation: caller.organisation.name,
      caller: caller.caller,
    };
    const answer = await this.dependencies.locator.find(identity, requestId);
    await this.serve(answer, response, signal =>
      writeStream(answer, response, lastEvent, signal),
    );
  }

  private mint(request: Request, response: ServerResponse): Promise<void> {
    this.authenticate(request);
    const key = mintKey(this.dependencies.identity(), this.dependencies.random);
    response.writeHead(201, {'Content-Type': 'application/json'});
    response.end(JSON.stringify({key}));
    return Promise.resolve();
  }

  private ready(response: ServerResponse): Promise<void> {
    const ready = this.dependencies.ready();
    response.statusCode = ready ? 200 : 503;
    response.end(ready ? 'ready\n' : 'not ready\n');
    return Promise.resolve();
  }

  /**
   * Authenticates the caller; called before any of the body is read.
   *
   * @throws Problem `unauthorised` for a missing or unknown credential;
   *     `unavailable` if the router has no configuration yet.
   */
  private authenticate(request: IncomingMessage): {
    readonly caller: AuthenticatedCaller;
    readonly configuration: Configuration;
  } {
    const configuration = this.dependencies.configuration();
    if (configuration === undefined) {
      throw new Problem(ProblemName.Unavailable, {
        detail: 'the router has not received a configuration yet',
        step: 'learn the configuration',
        retryAfterMilliseconds: NOT_CONFIGURED_RETRY_AFTER_MILLISECONDS,
      });
    }
    if (this.credentialsConfiguration !== configuration) {
      this.credentialsConfiguration = configuration;
      this.credentials = new Credentials(configuration);
    }
    const caller = this.credentials?.authenticate(
      request.headers.authorization,
    );
    if (caller === undefined) {
      throw new Problem(ProblemName.Unauthorised, {
        detail: 'the credential is missing or unknown',
      });
    }
    return {caller, configuration};
  }

  private async readIncoming(request: IncomingMessage): Promise<{
    readonly incoming: IncomingWork;
    readonly configuration: Configuration;
  }> {
    const {caller, configuration} = this.authenticate(request);
    const limits = configuration.limits;
    const body = await readBody(request, {
      maximumBytes: orDefault(
        limits?.maximumBodyBytes,
        DEFAULT_MAXIMUM_BODY_BYTES,
      ),
      timeoutMilliseconds: orDefault(
        limits?.requestReceiveTimeoutMilliseconds,
        DEFAULT_RECEIVE_TIMEOUT_MILLISECONDS,
      ),
    });
    const incoming = {
      caller,
      body,
      idempotencyKey: idempotencyKeyOf(request),
      lastEvent: lastEventOf(request),
    };
    return {incoming, configuration};
  }

  /** Writes an answer; the caller is a reader until its connection closes. */
  private async serve(
    answer: Answer,
    response: ServerResponse,
    write: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    const closed = new AbortController();
    const removeReader = this.dependencies.requests.addReader(answer);
    const handleClose = () => {
      closed.abort();
      removeReader();
    };
    response.once('close', handleClose);
    // If the caller has already disconnected, no close event will follow.
    if (response.destroyed || response.socket?.destroyed === true) {
      handleClose();
    }
    try {
      await write(closed.signal);
    } catch (error) {
      if (!closed.signal.aborted) {
        writeProblem(
          response,
          error instanceof Problem
            ? error
            : new Problem(ProblemName.OutcomeUnknown, {
                detail: 'internal error in the router',
              }),
        );
      }
    }
  }
}

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
import {mintKey, type MintedKey} from './identity.js';
import {Problem, ProblemName} from './problem.js';
import {readBody} from './request-body.js';
import type {RequestLocator} from './request-locator.js';
import type {RequestService} from './request-service.js';
import type {IncomingWork, SubmissionReader} from './submission-reader.js';

/** What the routes need of their router. */
export interface RouteParts {
  readonly requests: RequestService;
  readonly locator: RequestLocator;
  readonly reader: SubmissionReader;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: () => Configuration | undefined;
  readonly identity: () => MintedKey;
  readonly ready: () => boolean;
}

/** Used until a configuration, or where it sets none. */
const DEFAULT_BODY_BYTES = 1_048_576;
const DEFAULT_RECEIVE_MILLISECONDS = 10_000;

const NOT_CONFIGURED_RETRY_MILLISECONDS = 1_000;

/** Keys are for people and programs to store; the IETF draft sets no limit. */
const MAXIMUM_KEY_CHARACTERS = 255;

function positive(value: number | undefined, fallback: number): number {
  return value === undefined || value === 0 ? fallback : value;
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
      detail: 'Last-Event-ID must be the id of an event',
    });
  }
  return Number(text);
}

function keyOf(request: IncomingMessage): string | undefined {
  const key = header(request, 'idempotency-key');
  if (
    key !== undefined &&
    (key === '' || key.length > MAXIMUM_KEY_CHARACTERS)
  ) {
    throw new Problem(ProblemName.MalformedRequest, {
      detail: `an Idempotency-Key has 1 to ${MAXIMUM_KEY_CHARACTERS} characters`,
    });
  }
  return key;
}

/** The routes of the callers' interface. */
export class CallerRoutes {
  private credentials: Credentials | undefined;
  private credentialsOf: Configuration | undefined;

  constructor(private readonly parts: RouteParts) {}

  /** All routes. */
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
    const {incoming, configuration} = await this.receive(request);
    const {submission, chat} = this.parts.reader.readChat(
      incoming,
      configuration,
    );
    const answer = await this.parts.locator.submit(submission);
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
    const {incoming, configuration} = await this.receive(request);
    const parameters = request.params as {service: string; call: string};
    const query = request.getQuery();
    const submission = this.parts.reader.readCall(
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
    const answer = await this.parts.locator.submit(submission);
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
    const answer = await this.parts.locator.find(identity, requestId);
    await this.serve(answer, response, signal =>
      writeStream(answer, response, lastEvent, signal),
    );
  }

  private mint(request: Request, response: ServerResponse): Promise<void> {
    this.authenticate(request);
    const key = mintKey(this.parts.identity(), this.parts.random);
    response.writeHead(201, {'Content-Type': 'application/json'});
    response.end(JSON.stringify({key}));
    return Promise.resolve();
  }

  private ready(response: ServerResponse): Promise<void> {
    const ready = this.parts.ready();
    response.statusCode = ready ? 200 : 503;
    response.end(ready ? 'ready\n' : 'not ready\n');
    return Promise.resolve();
  }

  /** Checks the credential before anything of the body is read. */
  private authenticate(request: IncomingMessage): {
    readonly caller: AuthenticatedCaller;
    readonly configuration: Configuration;
  } {
    const configuration = this.parts.configuration();
    if (configuration === undefined) {
      throw new Problem(ProblemName.Unavailable, {
        detail: 'no configuration has been heard of yet',
        step: 'learn the configuration',
        retryAfterMilliseconds: NOT_CONFIGURED_RETRY_MILLISECONDS,
      });
    }
    if (this.credentialsOf !== configuration) {
      this.credentialsOf = configuration;
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

  private async receive(request: IncomingMessage): Promise<{
    readonly incoming: IncomingWork;
    readonly configuration: Configuration;
  }> {
    const {caller, configuration} = this.authenticate(request);
    const limits = configuration.limits;
    const body = await readBody(request, {
      maximumBytes: positive(limits?.maximumBodyBytes, DEFAULT_BODY_BYTES),
      timeoutMilliseconds: positive(
        limits?.requestReceiveTimeoutMilliseconds,
        DEFAULT_RECEIVE_MILLISECONDS,
      ),
    });
    const incoming = {
      caller,
      body,
      idempotencyKey: keyOf(request),
      lastEvent: lastEventOf(request),
    };
    return {incoming, configuration};
  }

  /** Counts the caller as a reader for as long as its connection lasts. */
  private async serve(
    answer: Answer,
    response: ServerResponse,
    write: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    const gone = new AbortController();
    const leave = this.parts.requests.attach(answer);
    const end = () => {
      gone.abort();
      leave();
    };
    response.once('close', end);
    // A caller that left before this has no close to come.
    if (response.destroyed || response.socket?.destroyed === true) {
      end();
    }
    try {
      await write(gone.signal);
    } catch (error) {
      if (!gone.signal.aborted) {
        writeProblem(
          response,
          error instanceof Problem
            ? error
            : new Problem(ProblemName.OutcomeUnknown, {
                detail: 'an error inside the router',
              }),
        );
      }
    }
  }
}

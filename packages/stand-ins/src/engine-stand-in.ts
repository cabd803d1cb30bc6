import {create} from '@bufbuild/protobuf';
import type {
  ChatMessage,
  Clock,
  EngineLoad,
  EngineOrder,
  RandomSource,
} from '@wisteriadeal/platform';
import {
  EngineStandInFaultsSchema,
  type EngineStandInFaults,
  type EngineStandInSettings,
} from '@wisteriadeal/schema';
import type {Request, Response, Server} from 'restify';

import type {EngineAttempt} from './engine-attempt.js';
import {EngineBatch} from './engine-batch.js';
import {EngineOrders} from './engine-orders.js';
import {EngineStreamWriter, type StreamFault} from './engine-stream-writer.js';
import {expectedCompletion} from './expected-completion.js';
import {PrefixCache} from './prefix-cache.js';
import {
  pathParameter,
  readBody,
  sendJson,
  Status,
  takeMessage,
} from './stand-in-server.js';

interface CompletionBody {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens: number;
}

const NO_FAULT: StreamFault = {truncateAfter: undefined};
const FROZEN_LOOK_MILLISECONDS = 20;

/** A model engine that answers with a function of the prompt. */
export class EngineStandIn {
  private readonly batch: EngineBatch;
  private readonly cache: PrefixCache;
  private readonly orders: EngineOrders;
  private readonly attempts = new Map<string, EngineAttempt>();
  private faults: EngineStandInFaults;
  private report: EngineLoad;
  private readonly stopping = new AbortController();

  constructor(
    private readonly settings: EngineStandInSettings,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.batch = new EngineBatch(settings.slots, settings.maximumWaiting);
    this.cache = new PrefixCache(
      settings.cachedPrefixes,
      settings.cacheEventLossShare,
      random,
    );
    this.orders = new EngineOrders(settings.checksFencingNumbers);
    this.faults = settings.faults ?? create(EngineStandInFaultsSchema);
    this.report = this.loadNow();
  }

  /** Registers the routes. */
  register(server: Server): void {
    server.post('/v1/chat/completions', async (request, response) => {
      await this.whileFrozen();
      await this.startCompletion(request, response);
    });
    server.get('/v1/attempts/:attempt/events', async (request, response) => {
      await this.whileFrozen();
      this.resume(request, response);
    });
    server.get('/v1/attempts/:attempt', async (request, response) => {
      await this.whileFrozen();
      this.sendStatus(request, response);
    });
    server.del('/v1/attempts/:attempt', async (request, response) => {
      await this.whileFrozen();
      this.cancel(request, response);
    });
    server.get('/load', async (_request, response) => {
      await this.whileFrozen();
      sendJson(response, Status.Success, this.report);
    });
    server.post('/orders', async (request, response) => {
      await this.whileFrozen();
      await this.takeOrder(request, response);
    });
    this.registerControl(server);
  }

  /** Steps the batch until it is closed. */
  async runSteps(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const factor = this.faults.slowFactor === 0 ? 1 : this.faults.slowFactor;
      const step = this.settings.millisecondsPerToken * factor;
      await this.clock.sleep(step, signal);
      if (!this.faults.frozen) {
        this.batch.step();
      }
    }
  }

  /** Renews the load report until it is closed. */
  async runReports(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(this.settings.loadLagMilliseconds, signal);
      this.report = this.loadNow();
    }
  }

  /** Ends the steps. */
  close(): void {
    this.stopping.abort();
  }

  private registerControl(server: Server): void {
    server.post('/control/faults', async (request, response) => {
      const schema = EngineStandInFaultsSchema;
      await takeMessage(schema, request, response, faults => {
        this.faults = faults;
      });
    });
    server.get('/control/attempts', async (_request, response) => {
      await Promise.resolve();
      const attempts = [...this.attempts.values()].map(attempt => ({
        attemptId: attempt.work.attemptId,
        completionTokens: attempt.completionTokens,
        finishReason: attempt.finishReason ?? null,
      }));
      sendJson(response, Status.Success, {attempts});
    });
    server.get('/control/orders', async (_request, response) => {
      await Promise.resolve();
      sendJson(response, Status.Success, {orders: this.orders.history});
    });
  }

  private loadNow(): EngineLoad {
    return {
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
      slots: this.settings.slots,
      leaving: this.faults.leaving,
      cachedPrefixes: this.cache.announcements,
      cacheSequence: this.cache.sequence,
    };
  }

  private async whileFrozen(): Promise<void> {
    while (this.faults.frozen && !this.stopping.signal.aborted) {
      await this.clock.sleep(FROZEN_LOOK_MILLISECONDS, this.stopping.signal);
    }
  }

  private async startCompletion(
    request: Request,
    response: Response,
  ): Promise<void> {
    const attemptId = request.header('x-attempt-id', '');
    const priority = Number(request.header('x-priority', '0'));
    const text = (await readBody(request)).toString();
    const body = JSON.parse(text) as CompletionBody;
    // A repeat of the same attempt joins it: the first may have been sent twice.
    const attempt =
      this.attempts.get(attemptId) ?? this.takeUp(attemptId, priority, body);
    if (attempt === undefined) {
      sendJson(response, Status.Unavailable, {error: 'not taken up'});
      return;
    }
    const shown = this.crossed(attempt);
    const fault = this.streamFault(shown);
    new EngineStreamWriter(shown, response, -1, fault).start();
  }

  private takeUp(
    attemptId: string,
    priority: number,
    body: CompletionBody,
  ): EngineAttempt | undefined {
    if (this.faults.leaving) {
      return undefined;
    }
    const {model, messages} = body;
    const uncached = this.cache.takeUncachedTokens(messages);
    const attempt = this.batch.add({
      attemptId,
      completion: expectedCompletion(model, messages, body.max_tokens),
      priority,
      promptSteps: Math.ceil(uncached / this.settings.promptTokensPerStep),
    });
    if (attempt !== undefined) {
      this.attempts.set(attemptId, attempt);
    }
    return attempt;
  }

  private crossed(attempt: EngineAttempt): EngineAttempt {
    if (this.random.fraction() >= this.faults.crossShare) {
      return attempt;
    }
    const others = [...this.attempts.values()].filter(
      other => other !== attempt,
    );
    return others.at(-1) ?? attempt;
  }

  private streamFault(attempt: EngineAttempt): StreamFault {
    if (this.random.fraction() >= this.faults.truncateShare) {
      return NO_FAULT;
    }
    const {length} = attempt.work.completion.tokens;
    return {truncateAfter: Math.floor(length / 2)};
  }

  private resume(request: Request, response: Response): void {
    const attempt = this.attempts.get(pathParameter(request, 'attempt'));
    if (attempt === undefined) {
      sendJson(response, Status.NotFound, {known: false});
      return;
    }
    const after = Number(request.header('last-event-id', '-1'));
    new EngineStreamWriter(attempt, response, after, NO_FAULT).start();
  }

  private cancel(request: Request, response: Response): void {
    const attempt = this.attempts.get(pathParameter(request, 'attempt'));
    if (attempt !== undefined) {
      this.batch.cancel(attempt);
    }
    this.sendStatus(request, response);
  }

  private sendStatus(request: Request, response: Response): void {
    const attempt = this.attempts.get(pathParameter(request, 'attempt'));
    if (attempt === undefined) {
      sendJson(response, Status.NotFound, {known: false});
      return;
    }
    sendJson(response, Status.Success, {
      known: true,
      finished: attempt.finished,
      promptTokens: attempt.work.completion.promptTokens,
      completionTokens: attempt.completionTokens,
    });
  }

  private async takeOrder(request: Request, response: Response): Promise<void> {
    const text = (await readBody(request)).toString();
    const taken = this.orders.take(JSON.parse(text) as EngineOrder);
    sendJson(response, taken ? Status.Success : Status.Conflict, {taken});
  }
}

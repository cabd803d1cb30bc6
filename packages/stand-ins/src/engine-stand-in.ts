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
  handleMessage,
} from './stand-in-server.js';

interface CompletionBody {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens: number;
}

const NO_FAULT: StreamFault = {truncateAfter: undefined};
const FROZEN_POLL_MILLISECONDS = 20;

/** Simulates a model engine whose answer is a function of the prompt. */
export class EngineStandIn {
  private readonly batch: EngineBatch;
  private readonly cache: PrefixCache;
  private readonly orders: EngineOrders;
  private readonly attempts = new Map<string, EngineAttempt>();
  private faults: EngineStandInFaults;
  private loadReport: EngineLoad;
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
    this.loadReport = this.currentLoad();
  }

  /** Registers the routes. */
  register(server: Server): void {
    server.post('/v1/chat/completions', async (request, response) => {
      await this.waitWhileFrozen();
      await this.startCompletion(request, response);
    });
    server.get('/v1/attempts/:attempt/events', async (request, response) => {
      await this.waitWhileFrozen();
      this.resume(request, response);
    });
    server.get('/v1/attempts/:attempt', async (request, response) => {
      await this.waitWhileFrozen();
      this.sendStatus(request, response);
    });
    server.del('/v1/attempts/:attempt', async (request, response) => {
      await this.waitWhileFrozen();
      this.cancel(request, response);
    });
    server.get('/load', async (_request, response) => {
      await this.waitWhileFrozen();
      sendJson(response, Status.Success, this.loadReport);
    });
    server.post('/orders', async (request, response) => {
      await this.waitWhileFrozen();
      await this.handleOrder(request, response);
    });
    this.registerControl(server);
  }

  /** Runs the steps of the batch until `close` is called. */
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

  /** Updates the load report periodically until `close` is called. */
  async runReports(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(this.settings.loadLagMilliseconds, signal);
      this.loadReport = this.currentLoad();
    }
  }

  /** Stops the steps and the load reports. */
  close(): void {
    this.stopping.abort();
  }

  private registerControl(server: Server): void {
    server.post('/control/faults', async (request, response) => {
      const schema = EngineStandInFaultsSchema;
      await handleMessage(schema, request, response, faults => {
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

  private currentLoad(): EngineLoad {
    return {
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
      slots: this.settings.slots,
      leaving: this.faults.leaving,
      cachedPrefixes: this.cache.announcements,
      cacheSequence: this.cache.sequence,
    };
  }

  private async waitWhileFrozen(): Promise<void> {
    while (this.faults.frozen && !this.stopping.signal.aborted) {
      await this.clock.sleep(FROZEN_POLL_MILLISECONDS, this.stopping.signal);
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
    // A request may be sent twice: a repeat of an attempt joins the one in progress.
    const attempt =
      this.attempts.get(attemptId) ??
      this.addAttempt(attemptId, priority, body);
    if (attempt === undefined) {
      sendJson(response, Status.Unavailable, {error: 'not taken up'});
      return;
    }
    const served = this.selectServedAttempt(attempt);
    const fault = this.streamFault(served);
    new EngineStreamWriter(served, response, -1, fault).start();
  }

  private addAttempt(
    attemptId: string,
    priority: number,
    body: CompletionBody,
  ): EngineAttempt | undefined {
    if (this.faults.leaving) {
      return undefined;
    }
    const {model, messages} = body;
    const uncached = this.cache.cachePrompt(messages);
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

  private selectServedAttempt(attempt: EngineAttempt): EngineAttempt {
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

  private async handleOrder(
    request: Request,
    response: Response,
  ): Promise<void> {
    const text = (await readBody(request)).toString();
    const taken = this.orders.accept(JSON.parse(text) as EngineOrder);
    sendJson(response, taken ? Status.Success : Status.Conflict, {taken});
  }
}

import {create} from '@bufbuild/protobuf';
import type {Clock, HostListing, RandomSource} from '@wisteriadeal/platform';
import {
  PlatformStandInFaultsSchema,
  type PlatformStandInFaults,
  type PlatformStandInSettings,
} from '@wisteriadeal/schema';
import type {Request, Response, Server} from 'restify';

import {HostDirectory} from './host-directory.js';
import {
  pathParameter,
  readBody,
  readQuery,
  sendJson,
  Status,
  handleMessage,
} from './stand-in-server.js';
import {MemoryLogStore} from './testing/memory-log.js';
import {TokenBucket} from './token-bucket.js';

const MILLISECONDS_PER_MINUTE = 60_000;
const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_READ_LIMIT = 1_000;

function numberParameter(
  query: URLSearchParams,
  name: string,
  fallback: number,
) {
  return Number(query.get(name) ?? fallback);
}

/** Simulates the platform's log, host list and weight store in memory. */
export class PlatformStandIn {
  private readonly store: MemoryLogStore;
  private readonly directory: HostDirectory;
  private readonly weightBucket: TokenBucket | undefined;
  private appendBucket: TokenBucket | undefined;
  private faults: PlatformStandInFaults;
  private readonly stopping = new AbortController();

  constructor(
    settings: PlatformStandInSettings,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.store = new MemoryLogStore(clock);
    this.directory = new HostDirectory(clock, settings.listLagMilliseconds);
    const tickets = settings.weightTicketsEachMinute;
    this.weightBucket =
      tickets === 0
        ? undefined
        : new TokenBucket(clock, tickets, tickets / MILLISECONDS_PER_MINUTE);
    this.faults = settings.faults ?? create(PlatformStandInFaultsSchema);
    this.setFaults(this.faults);
  }

  /** Registers the routes. */
  register(server: Server): void {
    server.post('/streams/:stream/records', async (request, response) => {
      await this.append(request, response);
    });
    server.get('/streams/:stream/records', async (request, response) => {
      await this.read(request, response);
    });
    server.get('/hosts', async (request, response) => {
      await Promise.resolve();
      this.listHosts(request, response);
    });
    server.post('/weights/:artifact/tickets', async (_request, response) => {
      await Promise.resolve();
      this.issueTicket(response);
    });
    this.registerControl(server);
  }

  /** Ends reads that wait for a record. */
  close(): void {
    this.stopping.abort();
  }

  private registerControl(server: Server): void {
    server.post('/control/faults', async (request, response) => {
      const schema = PlatformStandInFaultsSchema;
      await handleMessage(schema, request, response, faults => {
        this.setFaults(faults);
      });
    });
    server.put('/control/listing', async (request, response) => {
      const viewer = readQuery(request).get('viewer') ?? '';
      const text = (await readBody(request)).toString();
      this.directory.set(viewer, JSON.parse(text) as HostListing);
      sendJson(response, Status.Success, {});
    });
    server.get('/control/streams', async (_request, response) => {
      await Promise.resolve();
      const streams = this.store.streamNames.map(name => ({
        name,
        endOffset: this.store.endOffset(name),
      }));
      sendJson(response, Status.Success, {streams});
    });
  }

  private setFaults(faults: PlatformStandInFaults): void {
    this.faults = faults;
    this.store.faults.retentionRecords =
      faults.retentionRecords === 0 ? undefined : faults.retentionRecords;
    const rate = faults.appendsEachSecond;
    this.appendBucket =
      rate === 0
        ? undefined
        : new TokenBucket(this.clock, rate, rate / MILLISECONDS_PER_SECOND);
  }

  private async append(request: Request, response: Response): Promise<void> {
    const payload = await readBody(request);
    await this.clock.sleep(this.faults.delayMilliseconds);
    if (this.faults.logOutage) {
      sendJson(response, Status.Unavailable, {error: 'outage'});
      return;
    }
    const wait = this.appendBucket?.take() ?? 0;
    if (wait > 0) {
      sendJson(response, Status.TooManyRequests, {
        retryAfterMilliseconds: wait,
      });
      return;
    }
    const offset = this.store.append(pathParameter(request, 'stream'), payload);
    if (this.random.fraction() < this.faults.loseAnswerShare) {
      sendJson(response, Status.ServerError, {error: 'answer lost'});
      return;
    }
    sendJson(response, Status.Created, {offset});
  }

  private async read(request: Request, response: Response): Promise<void> {
    const query = readQuery(request);
    const stream = pathParameter(request, 'stream');
    const from = numberParameter(query, 'from', 0);
    const limit = numberParameter(query, 'limit', DEFAULT_READ_LIMIT);
    await this.clock.sleep(this.faults.delayMilliseconds);
    if (!this.faults.logOutage && this.store.endOffset(stream) <= from) {
      await this.waitForAppend(
        stream,
        numberParameter(query, 'waitMilliseconds', 0),
      );
    }
    if (this.faults.logOutage) {
      sendJson(response, Status.Unavailable, {error: 'outage'});
      return;
    }
    const page = this.store.page(stream, from, limit);
    const records = page.records.map(record => ({
      ...record,
      payload: Buffer.from(record.payload).toString('base64'),
    }));
    sendJson(response, Status.Success, {...page, records});
  }

  private async waitForAppend(
    stream: string,
    milliseconds: number,
  ): Promise<void> {
    const waitEnded = new AbortController();
    const waitSignal = AbortSignal.any([
      waitEnded.signal,
      this.stopping.signal,
    ]);
    await Promise.race([
      this.store.nextAppend(stream, waitSignal),
      this.clock.sleep(milliseconds, waitSignal),
    ]);
    waitEnded.abort();
  }

  private listHosts(request: Request, response: Response): void {
    if (this.faults.listOutage) {
      sendJson(response, Status.Unavailable, {error: 'outage'});
      return;
    }
    const viewer = readQuery(request).get('viewer') ?? '';
    sendJson(response, Status.Success, this.directory.read(viewer));
  }

  private issueTicket(response: Response): void {
    const wait = this.weightBucket?.take() ?? MILLISECONDS_PER_MINUTE;
    if (wait > 0) {
      sendJson(response, Status.TooManyRequests, {
        retryAfterMilliseconds: wait,
      });
      return;
    }
    sendJson(response, Status.Created, {ticket: this.random.identifier()});
  }
}

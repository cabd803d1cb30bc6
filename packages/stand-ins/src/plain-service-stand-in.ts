import {create} from '@bufbuild/protobuf';
import type {Clock, RandomSource} from '@wisteriadeal/platform';
import {
  PlainServiceStandInFaultsSchema,
  type PlainServiceStandInFaults,
  type PlainServiceStandInSettings,
} from '@wisteriadeal/schema';
import {createHash} from 'node:crypto';
import type {Request, Response, Server} from 'restify';

import {
  readBody,
  readQuery,
  sendJson,
  Status,
  handleMessage,
} from './stand-in-server.js';

/** Answer to a call; a caller can verify from it that it belongs to its request. */
export interface PlainServiceReply {
  readonly requestId: string;
  readonly organisation: string;
  readonly call: string;
  /** SHA-256 of the request's body, lower-case hexadecimal. */
  readonly digest: string;
  /** Sequence number of the execution within this process, from 1. */
  readonly number: number;
}

/** Computes the digest of a request's body that a reply contains. */
export function bodyDigest(body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Simulates a plain service and counts the executions per request. */
export class PlainServiceStandIn {
  private faults: PlainServiceStandInFaults;
  private executionCount = 0;
  private readonly executions = new Map<string, number>();
  private readonly outcomes = new Map<string, PlainServiceReply>();

  constructor(
    private readonly settings: PlainServiceStandInSettings,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.faults = settings.faults ?? create(PlainServiceStandInFaultsSchema);
  }

  /** Registers the routes. */
  register(server: Server): void {
    const call = async (request: Request, response: Response) => {
      await this.call(request, response);
    };
    server.post('/certificates', call);
    server.post('/deposits', call);
    server.post('/balances', call);
    server.get('/records', call);
    server.get('/outcomes', async (request, response) => {
      await Promise.resolve();
      this.sendOutcome(request, response);
    });
    server.get('/control/executions', async (_request, response) => {
      await Promise.resolve();
      const executions = Object.fromEntries(this.executions);
      sendJson(response, Status.Success, {executions});
    });
    server.post('/control/faults', async (request, response) => {
      const schema = PlainServiceStandInFaultsSchema;
      await handleMessage(schema, request, response, faults => {
        this.faults = faults;
      });
    });
  }

  private async call(request: Request, response: Response): Promise<void> {
    const body = await readBody(request);
    const reply = this.execute(request, body);
    const factor = this.faults.slowFactor === 0 ? 1 : this.faults.slowFactor;
    await this.clock.sleep(this.settings.millisecondsPerCall * factor);
    if (this.random.fraction() < this.faults.loseAnswerShare) {
      response.destroy();
      return;
    }
    const attemptId = request.header('x-attempt-id', '');
    const crossed = this.random.fraction() < this.faults.crossShare;
    sendJson(response, Status.Success, reply, {
      'x-attempt-id': crossed ? 'another-attempt' : attemptId,
    });
  }

  private execute(request: Request, body: Uint8Array): PlainServiceReply {
    const requestId = request.header('x-request-id', '');
    const reply = {
      requestId,
      organisation: request.header('x-organisation', ''),
      call: request.path().slice(1),
      digest: bodyDigest(body),
      number: ++this.executionCount,
    };
    const before = this.executions.get(requestId) ?? 0;
    this.executions.set(requestId, before + 1);
    this.outcomes.set(requestId, reply);
    return reply;
  }

  private sendOutcome(request: Request, response: Response): void {
    const requestId = readQuery(request).get('requestId') ?? '';
    const reply = this.outcomes.get(requestId);
    if (reply === undefined) {
      sendJson(response, Status.NotFound, {known: false});
    } else {
      sendJson(response, Status.Success, reply);
    }
  }
}

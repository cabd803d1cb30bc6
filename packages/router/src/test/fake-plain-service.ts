import {
  Fate,
  PlainService,
  PlainServiceFactory,
  StepError,
  type PlainAnswer,
  type PlainCall,
} from '@wisteriadeal/platform';

/** Scripted behaviour of one call. */
export enum CallScript {
  Answers,
  /** The call takes effect, but its answer is lost. */
  LosesAnswer,
  /** The connection is refused. */
  Refuses,
}

/** A scripted plain service that counts executions. */
export class FakePlainService extends PlainService {
  readonly executions = new Map<string, number>();
  readonly calls: PlainCall[] = [];
  private readonly answers = new Map<string, PlainAnswer>();

  constructor(readonly scripts: CallScript[] = []) {
    super();
  }

  override call(call: PlainCall): Promise<PlainAnswer> {
    const script = this.scripts.shift() ?? CallScript.Answers;
    if (script === CallScript.Refuses) {
      return Promise.reject(
        new StepError('fake', 'registry-1', Fate.NotDone, 'refused'),
      );
    }
    this.calls.push(call);
    const before = this.executions.get(call.requestId) ?? 0;
    this.executions.set(call.requestId, before + 1);
    const answer = {
      status: 201,
      contentType: 'application/json',
      body: Buffer.from(
        JSON.stringify({
          path: call.path,
          body: Buffer.from(call.body).toString(),
        }),
      ),
    };
    this.answers.set(call.requestId, answer);
    return script === CallScript.LosesAnswer
      ? Promise.reject(
          new StepError('fake', 'registry-1', Fate.Unknown, 'answer lost'),
        )
      : Promise.resolve(answer);
  }

  override outcome(
    _path: string,
    requestId: string,
  ): Promise<PlainAnswer | undefined> {
    return Promise.resolve(this.answers.get(requestId));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Returns the same service for every endpoint. */
export class FakePlainServiceFactory extends PlainServiceFactory {
  constructor(private readonly service: FakePlainService) {
    super();
  }

  override connect(): PlainService {
    return this.service;
  }
}

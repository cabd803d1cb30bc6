import {
  isCompletion,
  RequestKind,
  type CallerRequest,
} from './caller-request.js';
import {ResultKind, type CallerResult} from './caller-result.js';

/** One request with every result that its caller got for it, in order. */
export class RequestRecord {
  private readonly list: CallerResult[] = [];

  constructor(readonly request: CallerRequest) {}

  /** Notes what one exchange came to. */
  add(result: CallerResult): void {
    this.list.push(result);
  }

  /** Every result. */
  get results(): readonly CallerResult[] {
    return this.list;
  }

  /** What the caller knows in the end: an answer, once given, stays one. */
  get final(): CallerResult | undefined {
    return (
      this.list.find(result => result.kind === ResultKind.Answered) ??
      this.list.at(-1)
    );
  }

  /** When its first exchange began, on the runner's monotonic clock. */
  get startedAtMilliseconds(): number {
    return this.list[0]?.startedAtMilliseconds ?? 0;
  }

  /** When its caller knew what it knows in the end. */
  get endedAtMilliseconds(): number {
    const {final} = this;
    return (final?.startedAtMilliseconds ?? 0) + (final?.milliseconds ?? 0);
  }

  /** The request identifier, as far as any answer told it. */
  get requestId(): string {
    return this.list.find(result => result.requestId !== '')?.requestId ?? '';
  }

  /** Why an answer is wrong; empty where every answer is right. */
  get mismatch(): string {
    const wrong = this.list.find(result => result.mismatch !== '');
    if (wrong !== undefined) {
      return wrong.mismatch;
    }
    return this.answersDiffer() ? 'two answers to one key differ' : '';
  }

  /** The most that the request may use: what must be reserved for it. */
  get boundTokens(): number {
    const {request} = this;
    return isCompletion(request)
      ? Buffer.byteLength(request.prompt) + request.maximumTokens
      : request.tokens;
  }

  /**
   * An idempotent call may run again at another host and answer anew; every
   * other answer to one key must be the same. A caller told that its answer is
   * no longer kept got no second answer.
   */
  private answersDiffer(): boolean {
    const answers = this.list.filter(
      result => result.kind === ResultKind.Answered && result.problem === '',
    );
    return (
      this.request.kind !== RequestKind.IdempotentCall &&
      answers.some(answer => answer.content !== answers[0]?.content)
    );
  }
}

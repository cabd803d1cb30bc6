import {
  isCompletion,
  RequestKind,
  type CallerRequest,
} from './caller-request.js';
import {ResultKind, type CallerResult} from './caller-result.js';

/** A request with the results of all of its exchanges, in order. */
export class RequestRecord {
  private readonly list: CallerResult[] = [];

  constructor(readonly request: CallerRequest) {}

  /** Records the result of an exchange. */
  add(result: CallerResult): void {
    this.list.push(result);
  }

  /** The results of all exchanges. */
  get results(): readonly CallerResult[] {
    return this.list;
  }

  /** The final result: the first answer, or the last result if there is no answer. */
  get final(): CallerResult | undefined {
    return (
      this.list.find(result => result.kind === ResultKind.Answered) ??
      this.list.at(-1)
    );
  }

  /** Start of the first exchange, in milliseconds on the runner's monotonic clock. */
  get startedAtMilliseconds(): number {
    return this.list[0]?.startedAtMilliseconds ?? 0;
  }

  /** End of the exchange with the final result, on the same clock. */
  get endedAtMilliseconds(): number {
    const {final} = this;
    return (final?.startedAtMilliseconds ?? 0) + (final?.milliseconds ?? 0);
  }

  /** The request identifier from the first result that has one; empty if none does. */
  get requestId(): string {
    return this.list.find(result => result.requestId !== '')?.requestId ?? '';
  }

  /** Why an answer is wrong; empty if all answers are correct. */
  get mismatch(): string {
    const wrong = this.list.find(result => result.mismatch !== '');
    if (wrong !== undefined) {
      return wrong.mismatch;
    }
    return this.answersDiffer() ? 'answers to the same key differ' : '';
  }

  /**
   * Upper bound of the tokens that the request can use, which must be reserved for it.
   */
  get boundTokens(): number {
    const {request} = this;
    return isCompletion(request)
      ? Buffer.byteLength(request.prompt) + request.maximumTokens
      : request.tokens;
  }

  /**
   * Returns true if several answers to the same key differ. Idempotent calls are exempt:
   * they may run again at another host and produce a new answer. A result that reports
   * that the answer is no longer stored doesn't count as an answer.
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

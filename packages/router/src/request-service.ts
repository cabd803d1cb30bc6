import {Answer} from './answer.js';
import type {AnswerStore} from './answer-store.js';
import type {CallerIdentity} from './identity.js';
import {Problem, ProblemName} from './problem.js';
import {RequestRun} from './request-run.js';
import type {RunDependencies} from './run-context.js';
import type {Submission} from './submission.js';
import {drainingProblem} from './verdicts.js';

/**
 * Time for which a request keeps running after its last reader disconnected. A
 * caller whose connection broke reconnects within a second or two and can then
 * read the rest at once; a caller that hung up does not return, and would be
 * billed for every further token, so the request is cancelled.
 */
const RECONNECT_GRACE_MILLISECONDS = 1_000;

/** Starts requests and attaches retries to the answers of running ones. */
export class RequestService {
  constructor(
    private readonly dependencies: RunDependencies,
    private readonly store: AnswerStore,
  ) {}

  /**
   * Returns the running or kept answer of the same request, or starts a new run
   * and returns its answer.
   *
   * @throws Problem `key-reused` if the key was already used with different
   *     content; `draining` if the router is draining and the request has no key.
   */
  submit(submission: Submission): Answer {
    const existing = this.find(submission, submission.requestId);
    if (existing === undefined) {
      return this.start(submission);
    }
    if (existing.options.fingerprint !== submission.fingerprint) {
      throw new Problem(ProblemName.KeyReused, {
        detail: 'the Idempotency-Key was already used with different content',
        requestId: submission.requestId,
      });
    }
    return existing;
  }

  /** Finds the answer of a request; returns it only to the request's caller. */
  find(identity: CallerIdentity, requestId: string): Answer | undefined {
    const answer = this.store.find(requestId);
    return answer?.options.organisation === identity.organisation &&
      answer.options.caller === identity.caller
      ? answer
      : undefined;
  }

  /** Registers a reader of an answer; the returned function removes it. */
  addReader(answer: Answer): () => void {
    return answer.addReader(() => {
      void this.dependencies.clock
        .sleep(RECONNECT_GRACE_MILLISECONDS)
        .then(() => {
          if (answer.readerCount === 0 && answer.end === undefined) {
            answer.abandon();
          }
        });
    });
  }

  private start(submission: Submission): Answer {
    if (this.dependencies.draining() && !submission.keyed) {
      throw drainingProblem().forRequest(submission.requestId);
    }
    const answer = new Answer({
      ...submission,
      createdSeconds: Math.floor(
        this.dependencies.clock.wallMilliseconds() / MILLISECONDS_PER_SECOND,
      ),
    });
    this.store.add(answer);
    const startedAt = this.dependencies.clock.monotonicMilliseconds();
    void new RequestRun(this.dependencies, submission, answer)
      .run()
      .then(() => {
        this.handleEnd(submission, answer, startedAt);
      });
    return answer;
  }

  private handleEnd(
    submission: Submission,
    answer: Answer,
    startedAt: number,
  ): void {
    const {clock, log, metrics} = this.dependencies;
    if (answer.shouldKeep) {
      this.store.markEnded(answer);
    } else {
      this.store.remove(answer);
    }
    const milliseconds = clock.monotonicMilliseconds() - startedAt;
    metrics.timing('request.duration', milliseconds);
    log.info('request-ended', {
      request: submission.requestId,
      organisation: submission.organisation,
      service: submission.service,
      states: answer.history.join(' '),
      milliseconds: Math.round(milliseconds),
    });
  }
}

const MILLISECONDS_PER_SECOND = 1_000;

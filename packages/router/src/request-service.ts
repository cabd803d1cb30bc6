import {Answer} from './answer.js';
import type {AnswerStore} from './answer-store.js';
import type {CallerIdentity} from './identity.js';
import {Problem, ProblemName} from './problem.js';
import {RequestRun} from './request-run.js';
import type {RunParts} from './run-context.js';
import type {Submission} from './submission.js';
import {drainingProblem} from './verdicts.js';

/**
 * A caller whose connection broke comes back within a second or two; one that
 * hung up does not. Until then its work goes on, so that the rest can be read at
 * once; after that it is cancelled, because every further token is paid for by
 * somebody who does not want it.
 */
const RECONNECT_MILLISECONDS = 1_000;

/** Starts requests, and lets their retries join. */
export class RequestService {
  constructor(
    private readonly parts: RunParts,
    private readonly store: AnswerStore,
  ) {}

  /**
   * Gives the answer of a submission: the running or kept one of the same
   * request, else that of a run that starts now.
   *
   * @throws Problem where the key came with other content, or the router is
   *     leaving.
   */
  submit(submission: Submission): Answer {
    const known = this.find(submission, submission.requestId);
    if (known === undefined) {
      return this.start(submission);
    }
    if (known.options.fingerprint !== submission.fingerprint) {
      throw new Problem(ProblemName.KeyReused, {
        detail: 'the same Idempotency-Key came with other content',
        requestId: submission.requestId,
      });
    }
    return known;
  }

  /** The answer of a request, for nobody but its own caller. */
  find(identity: CallerIdentity, requestId: string): Answer | undefined {
    const answer = this.store.find(requestId);
    return answer?.options.organisation === identity.organisation &&
      answer.options.caller === identity.caller
      ? answer
      : undefined;
  }

  /** Counts a reader in; the function returned counts it out. */
  attach(answer: Answer): () => void {
    return answer.attach(() => {
      void this.parts.clock.sleep(RECONNECT_MILLISECONDS).then(() => {
        if (answer.readerCount === 0 && answer.end === undefined) {
          answer.abandon();
        }
      });
    });
  }

  private start(submission: Submission): Answer {
    if (this.parts.draining() && !submission.keyed) {
      throw drainingProblem().forRequest(submission.requestId);
    }
    const answer = new Answer({
      ...submission,
      createdSeconds: Math.floor(
        this.parts.clock.wallMilliseconds() / MILLISECONDS_PER_SECOND,
      ),
    });
    this.store.add(answer);
    const startedAt = this.parts.clock.monotonicMilliseconds();
    void new RequestRun(this.parts, submission, answer).run().then(() => {
      this.ended(submission, answer, startedAt);
    });
    return answer;
  }

  private ended(
    submission: Submission,
    answer: Answer,
    startedAt: number,
  ): void {
    const {clock, log, metrics} = this.parts;
    if (answer.keep) {
      this.store.keep(answer);
    } else {
      this.store.forget(answer);
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

import type {ProcessIdentity} from '@wisteriadeal/schema';

import {Answer} from './answer.js';
import type {CallerIdentity} from './identity.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import type {RequestService} from './request-service.js';
import {
  AttachResult,
  copyAnswer,
  type RouterConnector,
} from './router-attacher.js';
import type {Submission} from './submission.js';

/** What the locator needs of its router. */
export interface LocatorParts {
  readonly requests: RequestService;
  readonly routers: RouterConnector;
  /** The other routers that membership names. */
  readonly peers: () => readonly ProcessIdentity[];
  readonly nowSeconds: () => number;
}

/** Finds the answer of a request that another router may run or keep. */
export class RequestLocator {
  constructor(private readonly parts: LocatorParts) {}

  /**
   * Submits here, unless another router alone may execute the key.
   *
   * @throws Problem where the request can't be taken.
   */
  async submit(submission: Submission): Promise<Answer> {
    const {mintedElsewhere} = submission;
    if (mintedElsewhere === undefined) {
      return this.parts.requests.submit(submission);
    }
    const owner = this.parts
      .peers()
      .filter(({incarnation}) => incarnation === mintedElsewhere.incarnation);
    const answer = await this.search(submission, submission.requestId, owner);
    if (answer !== undefined) {
      return answer;
    }
    throw new Problem(
      ProblemName.Unavailable,
      {
        detail:
          'only the router that minted the key may run it, and it tells nothing of the request',
        requestId: submission.requestId,
        step: 'attach',
        peer: mintedElsewhere.incarnation,
      },
      AnswerOutcome.Unknown,
    );
  }

  /**
   * Finds a running or kept answer here, else at the routers that membership
   * names. Few callers come back to another host, and one data centre has a few
   * hosts, so asking each of them is cheaper than keeping an index.
   *
   * @throws Problem where no router knows it.
   */
  async find(identity: CallerIdentity, requestId: string): Promise<Answer> {
    const answer =
      this.parts.requests.find(identity, requestId) ??
      (await this.search(identity, requestId, this.parts.peers()));
    if (answer === undefined) {
      throw new Problem(
        ProblemName.UnknownRequest,
        {
          detail:
            'no router in reach knows it; send the request again with its Idempotency-Key and Last-Event-ID',
          requestId,
        },
        AnswerOutcome.Unknown,
      );
    }
    return answer;
  }

  private async search(
    identity: CallerIdentity,
    requestId: string,
    peers: readonly ProcessIdentity[],
  ): Promise<Answer | undefined> {
    for (const peer of peers) {
      const answer = this.emptyAnswer(identity, requestId);
      const copying = this.copy(peer, answer);
      const first = await Promise.race([
        copying,
        answer.more(0).then(() => AttachResult.Ended),
      ]);
      if (first === AttachResult.Ended) {
        return answer;
      }
    }
    return undefined;
  }

  /** A copy that breaks off ends with a problem, never as if it were whole. */
  private async copy(
    peer: ProcessIdentity,
    answer: Answer,
  ): Promise<AttachResult> {
    const result = await copyAnswer(
      this.parts.routers,
      peer.controlAddress,
      answer,
    );
    if (result === AttachResult.Lost && answer.events.length > 0) {
      answer.finish({
        problem: new Problem(ProblemName.FailedAfterRunning, {
          detail: 'the router that runs it was lost',
          requestId: answer.options.requestId,
          step: 'attach',
          peer: peer.controlAddress,
        }),
      });
    }
    return result;
  }

  private emptyAnswer(identity: CallerIdentity, requestId: string): Answer {
    return new Answer({
      organisation: identity.organisation,
      caller: identity.caller,
      requestId,
      fingerprint: '',
      createdSeconds: this.parts.nowSeconds(),
    });
  }
}

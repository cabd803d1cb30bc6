import type {ProcessIdentity} from '@wisteriadeal/schema';

import {Answer} from './answer.js';
import type {CallerIdentity} from './identity.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import type {RequestService} from './request-service.js';
import {
  AttachResult,
  copyAnswer,
  type RouterConnector,
} from './router-connector.js';
import type {Submission} from './submission.js';

/** Dependencies of the locator. */
export interface LocatorDependencies {
  readonly requests: RequestService;
  readonly routerConnector: RouterConnector;
  /** The other routers in the membership. */
  readonly peers: () => readonly ProcessIdentity[];
  readonly nowSeconds: () => number;
}

/** Finds answers that this router or another one produces or still keeps. */
export class RequestLocator {
  constructor(private readonly dependencies: LocatorDependencies) {}

  /**
   * Submits the request to this router. If another router minted the key, only
   * that router may run the request, so its answer is read from there.
   *
   * @throws Problem if the request is refused, or the router that minted the key
   *     does not return an answer.
   */
  async submit(submission: Submission): Promise<Answer> {
    const {mintedElsewhere} = submission;
    if (mintedElsewhere === undefined) {
      return this.dependencies.requests.submit(submission);
    }
    const owners = this.dependencies
      .peers()
      .filter(({incarnation}) => incarnation === mintedElsewhere.incarnation);
    const answer = await this.searchPeers(
      submission,
      submission.requestId,
      owners,
    );
    if (answer !== undefined) {
      return answer;
    }
    throw new Problem(
      ProblemName.Unavailable,
      {
        detail:
          'only the router that minted the key may run the request, and that router is unreachable or does not know it',
        requestId: submission.requestId,
        step: 'attach',
        peer: mintedElsewhere.incarnation,
      },
      AnswerOutcome.Unknown,
    );
  }

  /**
   * Finds a running or kept answer at this router, or else at the other routers
   * in the membership. Few callers reconnect to another host, and a data centre
   * has few hosts, so querying each of them is cheaper than keeping an index.
   *
   * @throws Problem `unknown-request` if no reachable router knows the request.
   */
  async find(identity: CallerIdentity, requestId: string): Promise<Answer> {
    const answer =
      this.dependencies.requests.find(identity, requestId) ??
      (await this.searchPeers(identity, requestId, this.dependencies.peers()));
    if (answer === undefined) {
      throw new Problem(
        ProblemName.UnknownRequest,
        {
          detail:
            'no reachable router knows the request; send it again with its Idempotency-Key and Last-Event-ID',
          requestId,
        },
        AnswerOutcome.Unknown,
      );
    }
    return answer;
  }

  private async searchPeers(
    identity: CallerIdentity,
    requestId: string,
    peers: readonly ProcessIdentity[],
  ): Promise<Answer | undefined> {
    for (const peer of peers) {
      const answer = this.emptyAnswer(identity, requestId);
      const copying = this.copyFromPeer(peer, answer);
      const firstResult = await Promise.race([
        copying,
        answer.waitForEvent(0).then(() => AttachResult.Ended),
      ]);
      if (firstResult === AttachResult.Ended) {
        return answer;
      }
    }
    return undefined;
  }

  /** Ends a copy that breaks off with a problem, so it never looks complete. */
  private async copyFromPeer(
    peer: ProcessIdentity,
    answer: Answer,
  ): Promise<AttachResult> {
    const result = await copyAnswer(
      this.dependencies.routerConnector,
      peer.controlAddress,
      answer,
    );
    if (result === AttachResult.Lost && answer.events.length > 0) {
      answer.finish({
        problem: new Problem(ProblemName.FailedAfterRunning, {
          detail: 'the connection to the router that runs the request was lost',
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
      createdSeconds: this.dependencies.nowSeconds(),
    });
  }
}

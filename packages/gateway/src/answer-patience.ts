import type {
  AnswerEstimate,
  DataCenterTrust,
  PromptSize,
  SilenceBounds,
} from '@wisteriadeal/decisions';
import type {Clock, HostLink} from '@wisteriadeal/platform';

import {RouteKind} from './configuration.js';
import type {KnownEndpoint} from './endpoint-directory.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import type {RequestContext} from './request-context.js';
import {SilenceWatch, type SilenceLimits} from './silence-watch.js';

/** How long one kind of answer may be silent. */
interface PatienceOptions {
  /** Its endpoint gets nothing new after so many times what is expected. */
  readonly suspectFactor: number;
  /** Never sooner, milliseconds. */
  readonly shortestSuspectMilliseconds: number;
  /** A request that may run elsewhere is moved after so many times... */
  readonly moveFactor: number;
  /** ... or so many goals of its route, whichever is more. */
  readonly moveGoals: number;
  /** Never sooner, milliseconds. */
  readonly shortestMoveMilliseconds: number;
}

/** Engines read prompts in turn: a first event comes late where long ones go before. */
const STREAM_PATIENCE: PatienceOptions = {
  suspectFactor: 3,
  shortestSuspectMilliseconds: 400,
  moveFactor: 3,
  moveGoals: 1.5,
  shortestMoveMilliseconds: 900,
};
/** Whole answers differ little, but for one in a hundred. */
const WHOLE_PATIENCE: PatienceOptions = {
  suspectFactor: 6,
  shortestSuspectMilliseconds: 150,
  moveFactor: 8,
  moveGoals: 2,
  shortestMoveMilliseconds: 200,
};
/** Between events silence counts after this many wanted pauses. */
const NEXT_SILENCE_PAUSES = 3;

/** Bears an endpoint's silence as long as it makes sense, and learns from it. */
export class AnswerPatience {
  private readonly options: PatienceOptions;
  private readonly estimate: AnswerEstimate;

  constructor(
    private readonly context: RequestContext,
    private readonly dataCenters: DataCenterTrust,
    private readonly clock: Clock,
    private readonly link: HostLink,
  ) {
    const isStream = context.route.kind === RouteKind.Streaming;
    this.options = isStream ? STREAM_PATIENCE : WHOLE_PATIENCE;
    this.estimate = isStream ? context.firstEvents : context.wholeAnswers;
  }

  /**
   * Watches for silence. Load: a data centre is cut off and packets are dropped, or an
   * engine goes dark. Harm of waiting for a connection's end: none comes, and requests
   * go there for as long as callers wait. A request that may run elsewhere is moved;
   * one that may not stays, and still tells of its endpoint.
   *
   * @param mayMove Whether the request may go on at another endpoint after this one.
   * @param claimMove Whether there is one that it can go on at now; asked before the
   *     exchange is given up.
   */
  watch(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    mayMove: boolean,
    claimMove: () => boolean,
  ): SilenceWatch {
    const suspect = () => {
      if (exchange.awaitsLink) {
        return;
      }
      const now = this.clock.monotonicMilliseconds();
      const {dataCenter, id} = endpoint.entry;
      endpoint.trust.fellSilent(now);
      this.dataCenters.fellSilent(dataCenter, id, now);
    };
    return new SilenceWatch(this.limits(mayMove), this.clock, {
      onSuspicion: suspect,
      onSilence: () => {
        if (claimMove()) {
          exchange.cancel('silent');
        } else {
          suspect();
        }
      },
    });
  }

  /** Takes note of how long an answer took to begin, or did not. */
  learn(watch: SilenceWatch): void {
    if (watch.firstMilliseconds === undefined) {
      this.estimate.missed(this.promptSize(), watch.elapsedMilliseconds);
    } else {
      this.estimate.came(this.promptSize(), watch.firstMilliseconds);
    }
  }

  private limits(mayMove: boolean): SilenceLimits {
    const {route} = this.context;
    const next = Math.max(
      this.options.shortestMoveMilliseconds,
      NEXT_SILENCE_PAUSES * route.pauseGoalMilliseconds,
    );
    return {
      suspectMilliseconds: this.firstLimit(this.suspectBounds()),
      firstMilliseconds: mayMove
        ? this.firstLimit(this.moveBounds())
        : undefined,
      nextMilliseconds: next + this.link.delayMilliseconds,
      mayMove,
    };
  }

  private suspectBounds(): SilenceBounds {
    const {suspectFactor, shortestSuspectMilliseconds} = this.options;
    return {
      expectedFactor: suspectFactor,
      shortestMilliseconds: shortestSuspectMilliseconds,
    };
  }

  private moveBounds(): SilenceBounds {
    const {moveFactor, moveGoals, shortestMoveMilliseconds} = this.options;
    return {
      expectedFactor: moveFactor,
      shortestMilliseconds: Math.max(
        shortestMoveMilliseconds,
        moveGoals * this.context.route.goalMilliseconds,
      ),
    };
  }

  private firstLimit(bounds: SilenceBounds): number {
    const limit = this.estimate.limit(this.promptSize(), bounds);
    return limit + this.link.delayMilliseconds;
  }

  private promptSize(): PromptSize {
    const {promptParts, promptTokens} = this.context.caller.headers;
    return {ownTokens: promptParts.at(-1)?.tokens ?? promptTokens};
  }
}

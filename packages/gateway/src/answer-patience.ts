import type {PromptSize} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import {RouteKind} from './configuration.js';
import type {KnownEndpoint} from './endpoint-directory.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import type {RequestContext} from './request-context.js';
import {SilenceWatch, type SilenceLimits} from './stream-relay.js';

/** Before the first event a resumable stream is moved after this many goals... */
const FIRST_SILENCE_GOALS = 1.5;
/** ... and after so many times what the service takes now for such a prompt. */
const FIRST_SILENCE_EXPECTED = 3;
/** Between events a resumable stream is moved after this many wanted pauses. */
const NEXT_SILENCE_PAUSES = 3;
/** Silence shorter than this is no reason to move a stream, milliseconds. */
const SHORTEST_SILENCE_MILLISECONDS = 900;

/** Bears an endpoint's silence as long as it makes sense, and learns from it. */
export class StreamPatience {
  constructor(
    private readonly context: RequestContext,
    private readonly clock: Clock,
  ) {}

  /**
   * Watches for silence. A stream that may be moved is; one that may not still tells
   * of its endpoint. Load: an engine goes dark, and a third of the streams may run
   * once only. Harm without the latter: it gets more of them until their callers
   * leave, two seconds later.
   *
   * @param mayMove Whether the stream may go on at another endpoint after this one.
   */
  watch(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    mayMove: boolean,
  ): SilenceWatch {
    const onSilence = mayMove
      ? () => {
          exchange.cancel('silent');
        }
      : () => {
          endpoint.trust.broke(this.clock.monotonicMilliseconds());
        };
    return new SilenceWatch(this.limits(mayMove), this.clock, onSilence);
  }

  /** Takes note of how long the first event of a stream took, or did not come. */
  learn(watch: SilenceWatch): void {
    const {route, firstEvents} = this.context;
    if (route.kind !== RouteKind.Streaming) {
      return;
    }
    if (watch.firstMilliseconds === undefined) {
      firstEvents.missed(this.promptSize(), watch.elapsedMilliseconds);
    } else {
      firstEvents.came(this.promptSize(), watch.firstMilliseconds);
    }
  }

  private limits(mayMove: boolean): SilenceLimits | undefined {
    const {route, firstEvents} = this.context;
    if (route.kind !== RouteKind.Streaming) {
      return undefined;
    }
    return {
      firstMilliseconds: firstEvents.limit(this.promptSize(), {
        shortestMilliseconds: Math.max(
          SHORTEST_SILENCE_MILLISECONDS,
          FIRST_SILENCE_GOALS * route.goalMilliseconds,
        ),
        expectedFactor: FIRST_SILENCE_EXPECTED,
      }),
      nextMilliseconds: mayMove
        ? Math.max(
            SHORTEST_SILENCE_MILLISECONDS,
            NEXT_SILENCE_PAUSES * route.pauseGoalMilliseconds,
          )
        : undefined,
    };
  }

  private promptSize(): PromptSize {
    const {promptParts, promptTokens} = this.context.caller.headers;
    return {ownTokens: promptParts.at(-1)?.tokens ?? promptTokens};
  }
}

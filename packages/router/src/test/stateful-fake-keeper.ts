import {
  BeginVerdict,
  HostState,
  type Configuration,
  type ProcessIdentity,
} from '@wisteriadeal/schema';

import {FakeKeeper} from './fake-keeper.js';

interface BegunRequest {
  readonly router: ProcessIdentity | undefined;
  readonly fingerprint: string;
  readonly idempotent: boolean;
}

/**
 * A fake holder that records requests and gives the verdicts of a real one: it
 * joins, resumes, refuses different content, and lets no request run twice.
 */
export class StatefulFakeKeeper extends FakeKeeper {
  private readonly begunRequests = new Map<string, BegunRequest>();
  private readonly lostRouters = new Set<string>();

  constructor(configuration: Configuration) {
    super(configuration);
    this.verdict = (begin, router) => {
      const begun = this.begunRequests.get(begin.requestId);
      if (begun === undefined) {
        this.begunRequests.set(begin.requestId, {...begin, router});
        return {verdict: BeginVerdict.RESERVED};
      }
      if (begun.fingerprint !== begin.fingerprint) {
        return {verdict: BeginVerdict.CONFLICT};
      }
      const routerLost = this.lostRouters.has(begun.router?.incarnation ?? '');
      const settled = this.receivedOf('settle').some(
        ({requestId}) => requestId === begin.requestId,
      );
      if (!routerLost) {
        return {
          verdict: BeginVerdict.JOIN,
          ...(begun.router === undefined ? {} : {router: begun.router}),
        };
      }
      if (settled) {
        return {verdict: BeginVerdict.ANSWER_GONE};
      }
      const attempt = this.receivedOf('dispatching').findLast(
        ({requestId}) => requestId === begin.requestId,
      )?.attempt;
      if (!begun.idempotent) {
        return {verdict: BeginVerdict.OUTCOME_UNKNOWN};
      }
      this.begunRequests.set(begin.requestId, {...begin, router});
      return attempt === undefined
        ? {verdict: BeginVerdict.RESERVED}
        : {verdict: BeginVerdict.RESUME, resume: attempt};
    };
  }

  /** Treats the router with an incarnation as lost. */
  markRouterLost(incarnation: string): void {
    this.lostRouters.add(incarnation);
  }

  /** Sends every router a membership of all routers that sent a hello. */
  announceRouters(): void {
    const routers = this.receivedOf('hello').map(identity => ({
      identity,
      state: HostState.LIVE,
    }));
    this.broadcast({kind: {case: 'membership', value: {routers}}});
  }

  /** Returns the incarnation of the router that sent a hello from a host. */
  incarnationOf(host: string): string {
    return (
      this.receivedOf('hello').find(identity => identity.host === host)
        ?.incarnation ?? ''
    );
  }
}

import {
  BeginVerdict,
  HostState,
  type Configuration,
  type ProcessIdentity,
} from '@wisteriadeal/schema';

import {FakeKeeper} from './fake-keeper.js';

interface Booked {
  readonly router: ProcessIdentity | undefined;
  readonly fingerprint: string;
  readonly idempotent: boolean;
}

/**
 * A holder that keeps books as the real one does, as far as routers can tell:
 * it joins, resumes, refuses other content, and lets nothing run twice.
 */
export class BookingKeeper extends FakeKeeper {
  private readonly books = new Map<string, Booked>();
  private readonly lost = new Set<string>();

  constructor(configuration: Configuration) {
    super(configuration);
    this.verdict = (begin, router) => {
      const booked = this.books.get(begin.requestId);
      if (booked === undefined) {
        this.books.set(begin.requestId, {...begin, router});
        return {verdict: BeginVerdict.RESERVED};
      }
      if (booked.fingerprint !== begin.fingerprint) {
        return {verdict: BeginVerdict.CONFLICT};
      }
      const routerLost = this.lost.has(booked.router?.incarnation ?? '');
      const settled = this.heard('settle').some(
        ({requestId}) => requestId === begin.requestId,
      );
      if (!routerLost) {
        return {
          verdict: BeginVerdict.JOIN,
          ...(booked.router === undefined ? {} : {router: booked.router}),
        };
      }
      if (settled) {
        return {verdict: BeginVerdict.ANSWER_GONE};
      }
      const attempt = this.heard('dispatching').findLast(
        ({requestId}) => requestId === begin.requestId,
      )?.attempt;
      if (!booked.idempotent) {
        return {verdict: BeginVerdict.OUTCOME_UNKNOWN};
      }
      this.books.set(begin.requestId, {...begin, router});
      return attempt === undefined
        ? {verdict: BeginVerdict.RESERVED}
        : {verdict: BeginVerdict.RESUME, resume: attempt};
    };
  }

  /** The router of an incarnation has died. */
  routerDied(incarnation: string): void {
    this.lost.add(incarnation);
  }

  /** Tells every router of every router that said hello. */
  announceRouters(): void {
    const routers = this.heard('hello').map(identity => ({
      identity,
      state: HostState.LIVE,
    }));
    this.tell({kind: {case: 'membership', value: {routers}}});
  }

  /** Incarnation of the router that said hello as a host. */
  incarnationOf(host: string): string {
    return (
      this.heard('hello').find(identity => identity.host === host)
        ?.incarnation ?? ''
    );
  }
}

import type {HostLink} from '@wisteriadeal/platform';
import {
  CrashSuspectService,
  type SuspectNews,
  type TryAnswer,
} from '@wisteriadeal/schema';

import {PeerCalls} from '../peer-calls.js';

/** Client for what other hosts know of suspected subjects. */
export abstract class SuspectPeers {
  /**
   * Tells one host what this one knows of some crashes, and returns what it knows of
   * their subjects then.
   *
   * @throws StepError if no answer came in time.
   */
  abstract share(address: string, news: SuspectNews): Promise<SuspectNews>;

  /**
   * Asks one host whether a request may be tried.
   *
   * @param subjects Those of the request, its digest first.
   * @throws StepError if no answer came in time.
   */
  abstract requestTry(
    address: string,
    subjects: readonly string[],
    known: SuspectNews,
  ): Promise<TryAnswer>;

  /** Closes open connections. */
  abstract close(): void;
}

/** What other hosts ask of this one about suspected subjects. */
export abstract class SuspectHolder {
  /** Adds another host's knowledge, and returns what this host knows of its subjects. */
  abstract receive(news: SuspectNews): SuspectNews;

  /** Decides whether a request may be tried now, for the whole fleet. */
  abstract permitTry(
    subjects: readonly string[],
  ): Pick<TryAnswer, 'isPermitted' | 'waitMilliseconds'>;
}

/** Client over Connect. */
export class ConnectSuspectPeers extends SuspectPeers {
  private readonly calls: PeerCalls<typeof CrashSuspectService>;

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(link: HostLink) {
    super();
    this.calls = new PeerCalls(CrashSuspectService, link);
  }

  override share(address: string, news: SuspectNews): Promise<SuspectNews> {
    return this.calls.call('share suspects', address, (client, timeoutMs) =>
      client.share(news, {timeoutMs}),
    );
  }

  override requestTry(
    address: string,
    subjects: readonly string[],
    known: SuspectNews,
  ): Promise<TryAnswer> {
    return this.calls.call('request try', address, (client, timeoutMs) =>
      client.requestTry({subjects: [...subjects], known}, {timeoutMs}),
    );
  }

  override close(): void {
    this.calls.close();
  }
}

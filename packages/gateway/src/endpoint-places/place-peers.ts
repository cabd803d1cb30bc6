import type {HostLink} from '@wisteriadeal/platform';
import {EndpointPlaceService} from '@wisteriadeal/schema';

import {PeerCalls} from '../peer-calls.js';
import {
  decodeAllotment,
  encodeReport,
  type AllotmentMessage,
  type BrittleKnowledge,
  type ReportMessage,
} from './place-messages.js';

/** An answer may take as long as a host waits for places, and the way there and back. */
export const REPORT_TIMEOUT_MILLISECONDS = 600;

/** Client for the places that other hosts divide. */
export abstract class PlacePeers {
  /**
   * Hands this host's places over to another host that divides them.
   *
   * @throws StepError if no answer came in time.
   */
  abstract report(
    address: string,
    message: ReportMessage,
  ): Promise<AllotmentMessage>;

  /**
   * Tells a host that the endpoints of a service are brittle.
   *
   * @throws StepError if no answer came in time.
   */
  abstract tell(address: string, news: BrittleKnowledge): Promise<void>;

  /** Closes open connections. */
  abstract close(): void;
}

/** What other hosts ask of this one. */
export abstract class PlaceHolder {
  /** Takes over another host's places, and returns those that it may use. */
  abstract receiveReport(message: ReportMessage): Promise<AllotmentMessage>;

  /** Takes up that endpoints of a service are brittle. */
  abstract receiveNews(news: BrittleKnowledge): void;
}

/** Client over Connect. */
export class ConnectPlacePeers extends PlacePeers {
  private readonly calls: PeerCalls<typeof EndpointPlaceService>;

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(link: HostLink) {
    super();
    this.calls = new PeerCalls(
      EndpointPlaceService,
      link,
      REPORT_TIMEOUT_MILLISECONDS,
    );
  }

  override async report(
    address: string,
    message: ReportMessage,
  ): Promise<AllotmentMessage> {
    const answer = await this.calls.call(
      'report places',
      address,
      (client, timeoutMs) => client.report(encodeReport(message), {timeoutMs}),
    );
    return decodeAllotment(answer);
  }

  override async tell(address: string, news: BrittleKnowledge): Promise<void> {
    await this.calls.call('tell brittleness', address, (client, timeoutMs) =>
      client.tell({...news}, {timeoutMs}),
    );
  }

  override close(): void {
    this.calls.close();
  }
}

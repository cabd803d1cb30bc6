import type {Clock} from '@wisteriadeal/platform';

import type {CallerExchange} from './caller-exchange.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import {
  EventStreamSplitter,
  type StreamEvent,
} from './event-stream-splitter.js';
import type {RequestRecord} from './request-record.js';

/** How passing on one endpoint's part of a stream ended. */
export enum RelayEnd {
  /** The stream is whole. */
  Whole = 'whole',
  /** It was cut, fell silent, or does not follow what was passed on. */
  Cut = 'cut',
  /** The caller has left. */
  CallerLeft = 'caller-left',
}

/** How long silence is borne. */
export interface SilenceLimits {
  /** Until the first event, milliseconds. */
  readonly firstMilliseconds: number;
  /** Between events, milliseconds; undefined where any silence is borne there. */
  readonly nextMilliseconds: number | undefined;
}

/**
 * Passes whole events on as they come. Each must follow the one before it: a run
 * that was resumed elsewhere may begin too early or too late, and a stream with a
 * gap or a repeated event is worse to its caller than one that was cut.
 */
export async function relayStream(
  exchange: EndpointExchange,
  caller: CallerExchange,
  record: RequestRecord,
  watch: SilenceWatch,
): Promise<RelayEnd> {
  const splitter = new EventStreamSplitter();
  for await (const chunk of exchange.parts()) {
    for (const event of splitter.push(chunk)) {
      if (!follows(event, record.lastEventId)) {
        exchange.cancel('event out of order');
        return RelayEnd.Cut;
      }
      watch.heard();
      await pass(event, caller, record);
    }
    if (caller.leaving.aborted) {
      return RelayEnd.CallerLeft;
    }
  }
  if (caller.leaving.aborted) {
    return RelayEnd.CallerLeft;
  }
  const isWhole = exchange.isWhole && splitter.rest.length === 0;
  return isWhole ? RelayEnd.Whole : RelayEnd.Cut;
}

async function pass(
  event: StreamEvent,
  caller: CallerExchange,
  record: RequestRecord,
): Promise<void> {
  record.eventsDelivered++;
  record.hasDelivered = true;
  record.lastEventId = event.id ?? record.lastEventId;
  await caller.write(event.bytes);
}

/** Identifiers are whole numbers that count up by one. */
function follows(event: StreamEvent, last: string | undefined): boolean {
  if (event.id === undefined || last === undefined) {
    return true;
  }
  return Number(event.id) === Number(last) + 1;
}

/** Tells when an exchange says nothing for too long. */
export class SilenceWatch {
  private readonly startedAt: number;
  private timer: NodeJS.Timeout | undefined;
  private firstAfter: number | undefined;

  /** @param limits Undefined where any silence is borne. */
  constructor(
    private readonly limits: SilenceLimits | undefined,
    private readonly clock: Clock,
    private readonly onSilence: () => void,
  ) {
    this.startedAt = clock.monotonicMilliseconds();
    this.arm(limits?.firstMilliseconds);
  }

  /** How long the first event took; undefined where none came, milliseconds. */
  get firstMilliseconds(): number | undefined {
    return this.firstAfter;
  }

  /** Since the request was sent, milliseconds. */
  get elapsedMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.startedAt;
  }

  /** The endpoint has answered; what follows until `heard` is not its silence. */
  answered(): void {
    this.firstAfter ??= this.elapsedMilliseconds;
    clearTimeout(this.timer);
  }

  /** An event came: the silence begins anew. */
  heard(): void {
    this.firstAfter ??= this.elapsedMilliseconds;
    this.arm(this.limits?.nextMilliseconds);
  }

  /** Watches no longer. */
  close(): void {
    clearTimeout(this.timer);
  }

  private arm(milliseconds: number | undefined): void {
    clearTimeout(this.timer);
    if (milliseconds !== undefined) {
      this.timer = setTimeout(this.onSilence, milliseconds);
    }
  }
}

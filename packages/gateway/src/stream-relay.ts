import type {CallerExchange} from './caller-exchange.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import {
  EventStreamSplitter,
  type StreamEvent,
} from './event-stream-splitter.js';
import type {RequestRecord} from './request-record.js';
import type {SilenceWatch} from './silence-watch.js';

/** How passing on one endpoint's part of a stream ended. */
export enum RelayEnd {
  /** The stream is whole. */
  Whole = 'whole',
  /** It was cut, fell silent, or does not follow what was passed on. */
  Cut = 'cut',
  /** The caller has left. */
  CallerLeft = 'caller-left',
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
  now: () => number,
): Promise<RelayEnd> {
  const splitter = new EventStreamSplitter();
  for await (const chunk of exchange.parts()) {
    for (const event of splitter.push(chunk)) {
      if (!follows(event, record.lastEventId)) {
        exchange.cancel('event out of order');
        return RelayEnd.Cut;
      }
      watch.heard();
      record.eventPassed(now());
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

import type {ConnectRouter} from '@connectrpc/connect';
import {InspectionService} from '@wisteriadeal/schema';

/** A JSON value of a dump. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | {readonly [key: string]: JsonValue};

/** What a process tells of itself on request. */
export abstract class Inspectable {
  /** The state, with lists cut to about `maximumItems` entries each. */
  abstract dumpState(maximumItems: number): JsonValue;

  /** What this process knows of a request; undefined where nothing. */
  abstract explainRequest(requestId: string): JsonValue | undefined;

  /** What this process knows of an organisation's budget. */
  abstract explainBudget(organisation: string): JsonValue | undefined;
}

const DEFAULT_MAXIMUM_BYTES = 262_144;
const MOST_ITEMS = 1_024;

/**
 * A dump is asked for when something is wrong, and then lists are long: it is
 * cut, by halving the lists, until it fits the reader's limit.
 */
function boundedDump(source: Inspectable, maximumBytes: number): string {
  for (let items = MOST_ITEMS; items >= 1; items = Math.floor(items / 2)) {
    const text = JSON.stringify(source.dumpState(items));
    if (Buffer.byteLength(text) <= maximumBytes) {
      return text;
    }
  }
  return JSON.stringify({truncated: true});
}

function explanation(value: JsonValue | undefined) {
  return value === undefined
    ? {known: false, explanationJson: ''}
    : {known: true, explanationJson: JSON.stringify(value)};
}

/**
 * Registers the inspection service of a process.
 *
 * @example
 * ```ts
 * ControlServer.listen(address, port, router => {
 *   registerInspection(router, state);
 * });
 * ```
 */
export function registerInspection(
  router: ConnectRouter,
  source: Inspectable,
): void {
  router.service(InspectionService, {
    dump: request => ({
      stateJson: boundedDump(
        source,
        request.maximumBytes === 0
          ? DEFAULT_MAXIMUM_BYTES
          : request.maximumBytes,
      ),
    }),
    explainRequest: request =>
      explanation(source.explainRequest(request.requestId)),
    explainBudget: request =>
      explanation(source.explainBudget(request.organisation)),
  });
}

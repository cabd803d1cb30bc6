import type {ConnectRouter} from '@connectrpc/connect';
import {InspectionService} from '@wisteriadeal/schema';

/** A JSON value in a state dump. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | {readonly [key: string]: JsonValue};

/** The state that a process exposes to the inspection service. */
export abstract class Inspectable {
  /** Returns the state, with each list cut to about `maximumItems` entries. */
  abstract dumpState(maximumItems: number): JsonValue;

  /** Describes a request; undefined if this process has no record of it. */
  abstract explainRequest(requestId: string): JsonValue | undefined;

  /** Describes an organisation's budget; undefined if this process has no record of it. */
  abstract explainBudget(organisation: string): JsonValue | undefined;
}

const DEFAULT_MAXIMUM_BYTES = 262_144;
const MAXIMUM_ITEMS = 1_024;

/**
 * Serialises the state within a size limit. Lists are long when a process is in
 * trouble, which is when a dump is requested, so the maximum list length is halved
 * until the dump fits. Returns `{"truncated":true}` if lists of one entry exceed the
 * limit.
 */
function boundedDump(source: Inspectable, maximumBytes: number): string {
  for (let items = MAXIMUM_ITEMS; items >= 1; items = Math.floor(items / 2)) {
    const text = JSON.stringify(source.dumpState(items));
    if (Buffer.byteLength(text) <= maximumBytes) {
      return text;
    }
  }
  return JSON.stringify({truncated: true});
}

function toExplainAnswer(value: JsonValue | undefined) {
  return value === undefined
    ? {known: false, explanationJson: ''}
    : {known: true, explanationJson: JSON.stringify(value)};
}

/**
 * Registers the inspection service for a process.
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
      toExplainAnswer(source.explainRequest(request.requestId)),
    explainBudget: request =>
      toExplainAnswer(source.explainBudget(request.organisation)),
  });
}

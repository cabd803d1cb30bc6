import {
  HostList,
  ListedState,
  type HostListing,
  type ListedEndpoint,
  type ListedHost,
} from './host-list.js';
import type {HttpServiceOptions} from './http-log-client.js';
import {HttpPeer} from './http-peer.js';
import {
  asFields,
  listField,
  parseFields,
  stringField,
  type JsonFields,
} from './json-fields.js';
import {Fate, StepError} from './step-error.js';

const SUCCESS = 200;

/** URL of the list, timeout, and the host that reads it. */
export interface HttpHostListOptions extends HttpServiceOptions {
  /** Name of the host that reads the list; addresses may differ between viewers. */
  readonly viewer: string;
}

function stateOf(fields: JsonFields): ListedState {
  return stringField(fields, 'state') === 'live'
    ? ListedState.Live
    : ListedState.Leaving;
}

function toHost(value: unknown): ListedHost {
  const fields = asFields(value);
  return {
    host: stringField(fields, 'host'),
    dataCenter: stringField(fields, 'dataCenter'),
    state: stateOf(fields),
    keeperAddress: stringField(fields, 'keeperAddress'),
    routerControlAddress: stringField(fields, 'routerControlAddress'),
    callerAddress: stringField(fields, 'callerAddress'),
  };
}

function toEndpoint(value: unknown): ListedEndpoint {
  const fields = asFields(value);
  return {endpoint: stringField(fields, 'endpoint'), state: stateOf(fields)};
}

/** Reads one entry; undefined if it can't be read, so that the others still are. */
function tryRead<Entry>(
  value: unknown,
  read: (value: unknown) => Entry,
): Entry | undefined {
  try {
    return read(value);
  } catch {
    // Another system may write entries; those that can't be read are counted.
    return undefined;
  }
}

/** The platform's host list over HTTP. */
export class HttpHostList extends HostList {
  private readonly peer: HttpPeer;

  /**
   * @example
   * ```ts
   * const list = new HttpHostList({url, viewer: 'host-1', timeoutMilliseconds: 2_000});
   * ```
   */
  constructor(private readonly options: HttpHostListOptions) {
    super();
    this.peer = new HttpPeer(options.url, options.url);
  }

  override async read(signal?: AbortSignal): Promise<HostListing> {
    const step = 'read the host list';
    const limit = this.options.timeoutMilliseconds;
    const response = await this.peer.exchange({
      step,
      method: 'GET',
      path: `/hosts?viewer=${encodeURIComponent(this.options.viewer)}`,
      timeouts: {connect: limit, total: limit},
      signal,
    });
    if (response.status !== SUCCESS) {
      const reason = `HTTP ${response.status}`;
      throw new StepError(step, this.peer.peer, Fate.NotDone, reason);
    }
    try {
      const fields = parseFields(response.body.toString());
      const hosts = listField(fields, 'hosts').map(entry =>
        tryRead(entry, toHost),
      );
      const endpoints = listField(fields, 'endpoints').map(entry =>
        tryRead(entry, toEndpoint),
      );
      return {
        hosts: hosts.filter(host => host !== undefined),
        endpoints: endpoints.filter(endpoint => endpoint !== undefined),
        ignoredEntries: [...hosts, ...endpoints].filter(
          entry => entry === undefined,
        ).length,
      };
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new StepError(step, this.peer.peer, Fate.NotDone, reason);
    }
  }

  override close(): Promise<void> {
    return this.peer.close();
  }
}

import {
  chooseCopyPlace,
  copiedTokens,
  isWorthBackup,
  type BackupRun,
  type RunLength,
} from '@wisteriadeal/decisions';

import {RouteKind} from '../configuration.js';
import type {SuspectRegistry} from '../crashes/index.js';
import type {ChosenEndpoint, EndpointChooser} from '../endpoint-chooser.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import {PathKind} from '../endpoint-path.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {RequestContext} from '../request-context.js';
import type {RequestRecord} from '../request-record.js';
import {ContinuationEvent} from './continuation-event.js';
import type {RunCopies} from './run-copies.js';

/** Dependencies of `CopyPlacement`. */
export interface CopyPlacementParts {
  readonly context: RequestContext;
  readonly record: RequestRecord;
  readonly chooser: EndpointChooser;
  readonly copies: RunCopies;
  readonly suspects: SuspectRegistry;
  readonly metrics: GatewayMetrics;
  /** Number of hosts that place copies. */
  readonly hostCount: () => number;
  /** Random number from 0 to below 1. */
  readonly fraction: () => number;
}

/** A copy of the current run at another endpoint. */
export interface Backup {
  readonly endpoint: KnownEndpoint;
  /** Identifies the start of the endpoint that has the copy. */
  readonly incarnation: string;
  /** Ends the record of the copy's memory. */
  readonly release: () => void;
}

/** Chooses where the run of one request is copied or moved to. */
export class CopyPlacement {
  constructor(private readonly parts: CopyPlacementParts) {}

  /**
   * Chooses where the run of an attempt that is sent now is copied to.
   *
   * @returns The copy; undefined if it is not worth one or has no place.
   */
  choose(
    {endpoint, path}: ChosenEndpoint,
    priority: number,
  ): Backup | undefined {
    const {context, record, copies, metrics, suspects} = this.parts;
    const {engine, name} = context.service;
    const {headers} = context.caller;
    const mayBeCopied =
      engine?.supportsBackups === true &&
      engine.bytesPerToken !== undefined &&
      context.route.kind === RouteKind.Streaming &&
      !context.isTry &&
      headers.attemptId !== undefined &&
      path.kind === PathKind.Direct &&
      suspects.mayResend(context.identity);
    if (!mayBeCopied) {
      return undefined;
    }
    const run: BackupRun = {
      ...this.runLength,
      promptTokens: headers.promptTokens,
      priority,
      tokenMilliseconds: copies.paceOf(name).tokenMilliseconds,
    };
    const {dataCenter, slots} = endpoint.entry;
    const cost = {...engine, bytesPerToken: engine.bytesPerToken, slots};
    if (!isWorthBackup(run, {...cost, isRemote: false})) {
      return undefined;
    }
    const place = this.placeBeside(endpoint);
    const isRemote = place?.entry.dataCenter !== dataCenter;
    if (place === undefined || !isWorthBackup(run, {...cost, isRemote})) {
      return undefined;
    }
    metrics.continuationEvent(ContinuationEvent.CopyAsked);
    const {id} = place.entry;
    record.continuation.backups.push(id);
    return {
      endpoint: place,
      incarnation: place.incarnation,
      release: copies.add(id, copiedTokens(run)),
    };
  }

  /** Chooses an endpoint for a run that is elsewhere. */
  placeBeside(runsAt: KnownEndpoint): KnownEndpoint | undefined {
    const {context, chooser, copies, hostCount, fraction} = this.parts;
    const {promptTokens} = context.caller.headers;
    const place = chooseCopyPlace(
      {
        dataCenter: runsAt.entry.dataCenter,
        tokens: copiedTokens({...this.runLength, promptTokens}),
        memoryTokens: context.service.engine?.memoryTokens,
        hosts: hostCount(),
        fraction: fraction(),
      },
      chooser.placesBeside(context, runsAt).map(endpoint => ({
        endpoint,
        id: endpoint.entry.id,
        dataCenter: endpoint.entry.dataCenter,
        slots: endpoint.entry.slots,
        load: endpoint.load,
        copiedTokens: copies.tokensAt(endpoint.entry.id),
      })),
    );
    return place?.endpoint;
  }

  /** What is known of the length of the run. */
  get runLength(): RunLength {
    const {lengthHint, maximumOutputTokens} = this.parts.context.caller.headers;
    const {deliveredTokens} = this;
    return {lengthHint, maximumOutputTokens, deliveredTokens};
  }

  /** Output tokens delivered so far. */
  get deliveredTokens(): number {
    const {context, record} = this.parts;
    return record.eventsDelivered * (context.service.tokensPerEvent ?? 0);
  }
}

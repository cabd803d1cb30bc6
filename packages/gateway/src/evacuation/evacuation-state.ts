import type {Clock, KeyedRecord} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {Dialect} from '../dialect.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import {KeyedTopicReader} from '../keyed-follower.js';

/** What a record of the operator did to the evacuations in force. */
export enum EvacuationEvent {
  Begun = 'begun',
  Ended = 'ended',
  Ignored = 'ignored',
}

/** Dependencies of `EvacuationState`. */
export interface EvacuationParts {
  /** Prefix of the record keys; the data centre follows it. */
  readonly keyPrefix: string;
  readonly dialect: Dialect;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly events: EventLog;
}

/**
 * The data centres whose endpoints get no new requests, by order of the operator.
 * An evacuation is in force from its record on until the record is deleted; a host
 * that starts or has missed records reads all that are in force.
 */
export class EvacuationState extends KeyedTopicReader {
  private readonly evacuated = new Set<string>();
  /** Offset of the latest record of each data centre. */
  private readonly offsets = new Map<string, number>();
  private readonly endListeners: ((dataCenter: string) => void)[] = [];
  private currentAsOf = -Infinity;

  constructor(private readonly parts: EvacuationParts) {
    super();
  }

  /** The evacuated data centres. */
  get dataCenters(): readonly string[] {
    return [...this.evacuated];
  }

  /** Time since which changes may be missing, milliseconds. */
  get ageMilliseconds(): number {
    return this.parts.clock.monotonicMilliseconds() - this.currentAsOf;
  }

  /** Whether endpoints of the data centre get no new requests. */
  isEvacuated(dataCenter: string): boolean {
    return this.evacuated.has(dataCenter);
  }

  /** Adds a listener for data centres whose evacuation was taken back. */
  onEnd(listener: (dataCenter: string) => void): void {
    this.endListeners.push(listener);
  }

  override changed({key, value, offset}: KeyedRecord): void {
    const {keyPrefix, dialect} = this.parts;
    const dataCenter = key.slice(keyPrefix.length);
    if (!key.startsWith(keyPrefix)) {
      return;
    }
    if (offset < (this.offsets.get(dataCenter) ?? -1)) {
      return;
    }
    this.offsets.set(dataCenter, offset);
    if (value === undefined) {
      this.end(dataCenter, offset);
    } else if (dataCenter !== '' && dialect.isEvacuation(value)) {
      this.begin(dataCenter, offset);
    } else {
      this.ignore(dataCenter, offset);
    }
  }

  override replaced(records: readonly KeyedRecord[]): void {
    const {keyPrefix} = this.parts;
    for (const record of records) {
      this.changed(record);
    }
    const listedKeys = new Set(records.map(({key}) => key));
    for (const dataCenter of this.dataCenters) {
      if (!listedKeys.has(`${keyPrefix}${dataCenter}`)) {
        this.end(dataCenter);
      }
    }
  }

  override caughtUp(asOf: number): void {
    this.currentAsOf = asOf;
  }

  private begin(dataCenter: string, offset: number): void {
    if (this.evacuated.has(dataCenter)) {
      return;
    }
    this.evacuated.add(dataCenter);
    this.parts.metrics.evacuationRecordRead(EvacuationEvent.Begun);
    this.parts.events.info('data centre evacuated', {dataCenter, offset});
  }

  private end(dataCenter: string, offset?: number): void {
    if (!this.evacuated.delete(dataCenter)) {
      return;
    }
    this.parts.metrics.evacuationRecordRead(EvacuationEvent.Ended);
    this.parts.events.info('evacuation ended', {dataCenter, offset});
    for (const listener of this.endListeners) {
      listener(dataCenter);
    }
  }

  private ignore(dataCenter: string, offset: number): void {
    this.parts.metrics.evacuationRecordRead(EvacuationEvent.Ignored);
    this.parts.events.warn('evacuation record ignored', {
      dataCenter,
      offset,
      reason: 'not an evacuation of a data centre',
    });
  }
}

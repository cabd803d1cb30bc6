import type {ReportTimes} from '@wisteriadeal/decisions';

import {REPORT_TIMEOUT_MILLISECONDS} from './place-peers.js';

/** Time between two reports of a host that needs nothing, milliseconds. */
const RENEWAL_MILLISECONDS = 200;
/** The same for each host, so that one host can take the reports of all. */
const RENEWAL_MILLISECONDS_PER_HOST = 8;
/** A host whose needs change reports up to so often between renewals. */
const REPORTS_PER_RENEWAL = 10;
/** Missed renewals after which places are no longer divided. */
const RENEWALS_PER_HANDOVER = 3;
/** The way of a report and its answer, and turns of busy event loops, milliseconds. */
const TRANSIT_MILLISECONDS = 150;

/** How often hosts report, and for how long that holds. */
export interface PlaceTimes extends ReportTimes {
  readonly renewalMilliseconds: number;
  /** Least time between two reports of a host, milliseconds. */
  readonly paceMilliseconds: number;
  /** A host that has handed its places over does not use them for so long, milliseconds. */
  readonly bindingMilliseconds: number;
  /** The same after a report that has failed and can't arrive any more, milliseconds. */
  readonly lostMilliseconds: number;
}

/**
 * The times for a number of hosts. A host has its own places back once the one that
 * divides them has stopped to, and later than any answer of that one may come.
 */
export function placeTimes(hosts: number): PlaceTimes {
  const renewal = Math.max(
    RENEWAL_MILLISECONDS,
    hosts * RENEWAL_MILLISECONDS_PER_HOST,
  );
  const handover = RENEWALS_PER_HANDOVER * renewal;
  const binding = handover + REPORT_TIMEOUT_MILLISECONDS;
  return {
    renewalMilliseconds: renewal,
    paceMilliseconds: renewal / REPORTS_PER_RENEWAL,
    handoverMilliseconds: handover,
    bindingMilliseconds: binding,
    lostMilliseconds: handover + TRANSIT_MILLISECONDS,
    useMilliseconds: binding + TRANSIT_MILLISECONDS,
  };
}

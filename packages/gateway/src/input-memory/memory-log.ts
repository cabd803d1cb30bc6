import type {EventLog} from '@wisteriadeal/runtime';

import {HeldKind} from './held-kind.js';
import type {EndedHolders} from './input-account.js';

const ENDPOINT_KINDS: readonly HeldKind[] = [HeldKind.Answer, HeldKind.Event];

/**
 * Returns a listener that logs which exchanges were ended to make room. Callers are not
 * named: their sources are numbers that mean nothing outside of the process.
 */
export function memoryLog(events: EventLog): (ended: EndedHolders) => void {
  return ({source, ...ended}) => {
    events.warn('memory limit exceeded', {
      source: ENDPOINT_KINDS.includes(ended.kind) ? source : 'caller',
      ...ended,
    });
  };
}
